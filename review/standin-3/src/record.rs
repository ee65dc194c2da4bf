//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Shared record.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Time since the case began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {text}", now_ms as f64 / 1_000.0);
    }
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.map_or(0, |wall| wall.as_millis() as u64)
}
