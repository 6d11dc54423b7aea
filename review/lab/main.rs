//! Stand-ins and clients of the cases in this review.
//!
//! `lab CASE RECORD` starts a small deployment, plays a case and writes what was sent,
//! answered and run. With `TROUBLE=0` in the environment it leaves the disruption out.
//! It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod endless;
mod fleet;
mod http;
mod jobs;
mod memory;
mod record;
mod relayed;
mod replica;
mod spoiled;
mod stale;
mod store;
mod sys;

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use record::Record;

/// Exit codes.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: lab CASE RECORD");
        return NOT_RUN.into();
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&path);
    record.say(&format!("case {case}, trouble: {has_trouble}"));
    let played = panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "relayed" => relayed::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        "spoiled" => spoiled::run(&record, has_trouble),
        "endless" => endless::run(&record, has_trouble),
        "stale" => stale::run(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    }));
    let broken = played.unwrap_or_else(|_| Err("a stand-in failed".into()));
    match broken {
        Ok(true) => {
            record.say("the rule was broken");
            BROKEN.into()
        }
        Ok(false) => {
            record.say("the rule held");
            HELD.into()
        }
        Err(why) => {
            record.say(&format!("not run: {why}"));
            NOT_RUN.into()
        }
    }
}
