//! Framings of answers.

use bitterncart_soak::{FRAMINGS, Framing};

#[test]
fn framings_are_named_as_arguments() {
    for framing in FRAMINGS {
        assert_eq!(framing.name().parse(), Ok(framing));
    }
}

#[test]
fn unknown_framing_lists_the_known_ones() {
    let error = "lines".parse::<Framing>().expect_err("an error");
    assert_eq!(
        error,
        "framing \"lines\" is not known; use length, chunks or connection"
    );
}
