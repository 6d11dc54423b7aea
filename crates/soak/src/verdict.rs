//! Broken promises and counts of a run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Promise that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// Name of the promise.
    pub promise: &'static str,
    /// Id of the request, the item or the process.
    pub id: String,
    /// What was seen.
    pub seen: String,
}

#[derive(Debug)]
struct State {
    counts: BTreeMap<String, u64>,
    broken: Vec<Broken>,
    journal: File,
}

/// Collects what clients saw.
#[derive(Clone, Debug)]
pub struct Verdict(Arc<Mutex<State>>);

impl Verdict {
    /// Creates an empty verdict with a journal in a folder.
    ///
    /// # Errors
    ///
    /// If the journal cannot be created.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new(State {
            counts: BTreeMap::new(),
            broken: Vec::new(),
            journal: File::create(folder.join("clients.txt"))?,
        }))))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a line to the journal.
    pub fn note(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        // A journal that cannot be written costs no check.
        let _written = self.lock().journal.write_all(line.as_bytes());
    }

    /// Counts an event.
    pub fn count(&self, name: &str) {
        *self.lock().counts.entry(name.to_owned()).or_default() += 1;
    }

    /// Records a broken promise.
    pub fn broken(&self, promise: &'static str, id: &str, seen: String) {
        self.note(&format!("BROKEN {promise} {id}: {seen}"));
        self.lock().broken.push(Broken {
            promise,
            id: id.to_owned(),
            seen,
        });
    }

    /// Counts and broken promises.
    #[must_use]
    pub fn results(&self) -> (BTreeMap<String, u64>, Vec<Broken>) {
        let state = self.lock();
        (state.counts.clone(), state.broken.clone())
    }
}

/// Milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
