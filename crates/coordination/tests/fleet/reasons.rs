//! Reports of records that cannot be used.

use bitterncart_coordination::fleet::reasons::{MAX_RECORDS, Reasons};

#[test]
fn reason_is_reported_once() {
    let mut reasons = Reasons::default();
    assert!(reasons.record("a", "no port"));
    assert!(!reasons.record("a", "no port"));
    assert!(reasons.record("b", "no port"));
}

#[test]
fn changed_reason_is_reported() {
    let mut reasons = Reasons::default();
    assert!(reasons.record("a", "no port"));
    assert!(reasons.record("a", "no zone"));
    assert!(!reasons.record("a", "no zone"));
    assert!(reasons.record("a", "no port"));
}

#[test]
fn reason_is_reported_again_after_a_valid_record() {
    let mut reasons = Reasons::default();
    assert!(reasons.record("a", "no port"));
    reasons.remove("a");
    assert!(reasons.record("a", "no port"));
}

/// Guards against another writer that fills the memory or the log.
#[test]
fn reasons_are_bounded() {
    let mut reasons = Reasons::default();
    let reported = (0..10 * MAX_RECORDS).filter(|n| reasons.record(&n.to_string(), "no port"));
    assert_eq!(reported.count(), MAX_RECORDS);
    reasons.remove("0");
    assert!(reasons.record("new", "no port"));
}
