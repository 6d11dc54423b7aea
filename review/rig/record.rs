//! Record of what was sent, answered and run, by the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        print!("{line}");
        let _written = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
