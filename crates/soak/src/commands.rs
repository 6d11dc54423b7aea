//! Commands of the soak to its stand-ins, one a line on standard input.

use std::io::BufRead;

/// Calls `handle` with the words of each line until standard input ends, as it does
/// when the soak ends.
pub fn read(mut handle: impl FnMut(&[&str])) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        handle(&words);
    }
}
