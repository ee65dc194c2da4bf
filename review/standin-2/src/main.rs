//! Plays a case of the review: `case NAME PROGRAM RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod fleet;
mod http;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The content of a mutex, also after a panic of another thread.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, program, record] = &arguments[..] else {
        eprintln!("usage: case NAME PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::play(name, Path::new(program), has_trouble) {
        Ok(outcome) => {
            let verdict = match outcome.broken.len() {
                0 => "the rule held".to_owned(),
                count => format!("the rule was broken {count} times, the first:"),
            };
            println!("{verdict}");
            let mut text = format!("{verdict}\n");
            for line in outcome.broken.iter().take(10) {
                println!("  {line}");
                text.push_str(&format!("  {line}\n"));
            }
            text.push_str(&outcome.record);
            if let Err(error) = std::fs::write(record, text) {
                eprintln!("the record cannot be written: {error}");
                return ExitCode::from(2);
            }
            ExitCode::from(u8::from(!outcome.broken.is_empty()))
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
