//! Record of what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:>7}.{:03} s  {text}", ms / 1000, ms % 1000);
        let _ = file.flush();
    }

    /// Writes a line, to standard output too.
    pub fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
    }
}
