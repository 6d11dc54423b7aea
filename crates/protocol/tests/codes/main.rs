//! Result codes: unique numbers and names, and a current table in the docs.

use std::collections::BTreeSet;

use bitterncart_protocol::Code;

#[test]
fn docs_table_matches_code_table() {
    let docs = include_str!("../../../../docs/CODES.md");
    assert!(
        docs.contains(&Code::table()),
        "write the output of `bitternctl codes` into docs/CODES.md"
    );
}

#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert_eq!(names.len(), Code::ALL.len());
}
