//! Plays one case of the review: `review-standin CASE FOLDER`, in the root of the repository.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::fs;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cases::Outcome;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Some(play) = cases::by_name(case) else {
        eprintln!("no case {case}");
        return ExitCode::from(2);
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let _ = sender.send(play(with_trouble));
    });
    let Ok(Outcome {
        record,
        breaches,
        failure,
    }) = receiver.recv_timeout(TIME_LIMIT)
    else {
        deployment::end_daemons();
        eprintln!("the case took too long, or its stand-ins failed");
        return ExitCode::from(2);
    };
    let verdict = match (&failure, breaches.len()) {
        (Some(reason), _) => format!("not run: {reason}"),
        (None, 0) => "held".to_owned(),
        (None, count) => format!("broken {count} times"),
    };
    let breaches_text: Vec<String> = breaches.iter().take(20).cloned().collect();
    let text = format!(
        "disruption: {}\nverdict: {verdict}\n{}\n\n{record}",
        if with_trouble { "yes" } else { "no" },
        breaches_text.join("\n")
    );
    if fs::write(Path::new(folder).join("record.txt"), text).is_err() {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    }
    println!(
        "{case}, {}: {verdict}",
        if with_trouble {
            "with the disruption"
        } else {
            "without it"
        }
    );
    for breach in breaches_text.iter().take(3) {
        println!("  {breach}");
    }
    match (failure, breaches.is_empty()) {
        (Some(_), _) => ExitCode::from(2),
        (None, true) => ExitCode::SUCCESS,
        (None, false) => ExitCode::from(1),
    }
}
