//! Stand-ins and scenarios of the review's cases. `rig CASE FOLDER` plays one and writes
//! FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With TROUBLE=0 there is no disruption.

mod client;
mod cases;
mod fleet;
mod http;
mod record;
mod replica;
mod store;

use std::path::Path;
use std::process::ExitCode;

use cases::Verdict;
use record::Recorder;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let recorder = match Recorder::create(&Path::new(folder).join("record.txt")) {
        Ok(recorder) => recorder,
        Err(e) => {
            eprintln!("{folder}: {e}");
            return ExitCode::from(2);
        }
    };
    recorder.line(&format!("case {case}, TROUBLE={}", u8::from(is_troubled)));
    let verdict = match case.as_str() {
        "large-item-head" => cases::large_item_head(&recorder, is_troubled),
        "removed-route" => cases::removed_route(&recorder, is_troubled),
        "slow-readers" => cases::slow_readers(&recorder, is_troubled),
        "early-ends" => cases::early_ends(&recorder, is_troubled),
        _ => Ok(Verdict::CannotRun("no such case".to_owned())),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken(how)) => (format!("the rule was broken: {how}"), 1),
        Ok(Verdict::CannotRun(why)) => (format!("the case could not run: {why}"), 2),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    recorder.line(&text);
    ExitCode::from(code)
}
