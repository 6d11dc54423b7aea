//! Processes that the soak starts, and ends by their ids only.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

/// Interval of checks for the end of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Program with its arguments, which can be started several times.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    /// Arguments.
    pub args: Vec<String>,
    env: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Describes a process whose output goes to a file.
    #[must_use]
    pub fn new(program: &Path, args: Vec<String>, log: PathBuf) -> Self {
        Self {
            program: program.to_owned(),
            args,
            env: Vec::new(),
            log,
            child: None,
        }
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn env(mut self, name: &str, value: &str) -> Self {
        self.env.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Starts the process unless it runs.
    ///
    /// # Errors
    ///
    /// If the program cannot be started or its log cannot be written.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .env_clear()
            .envs(self.env.iter().cloned())
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| {
            let program = self.program.display();
            io::Error::new(e.kind(), format!("{program}: cannot be started: {e}"))
        })?;
        self.child = Some(child);
        Ok(())
    }

    /// Id of the process while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal if the process runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // A process that has just ended needs no signal.
            let _sent = kill_process(pid, signal);
        }
    }

    /// Writes a command to the standard input of the process.
    pub fn command(&mut self, command: &str) {
        if let Some(input) = self.child.as_mut().and_then(|child| child.stdin.as_mut()) {
            // A process that has just ended takes no commands.
            let _written = input.write_all(format!("{command}\n").as_bytes());
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    /// Waits for the end of the process, and kills it after `timeout`. Returns whether it
    /// ended by itself.
    pub fn await_end(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.child.is_none() || self.ended().is_some() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.kill();
        false
    }

    /// Status of a process that has ended since it was started.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Memory of the process that is in use, in kilobytes; 0 if it does not run.
    #[must_use]
    pub fn memory_kb(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        number.unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
