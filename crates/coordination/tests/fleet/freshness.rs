//! Age of the manifest: how long a daemon may serve requests with keys.

use std::time::Duration;

use bitterncart_coordination::fleet::Freshness;
use bitterncart_coordination::fleet::freshness::Message;
use bitterncart_testing::cases;

const MAX_AGE: Option<Duration> = Some(Duration::from_secs(5));

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn confirmed_at(asked_at: Duration) -> Freshness {
    let mut freshness = Freshness::default();
    freshness.confirm(asked_at);
    freshness
}

cases! {
    /// Guards against a withdrawn key that is served beyond the bound, whatever the daemon
    /// went through meanwhile.
    fn served(freshness: Freshness, now: Duration, max_age: Option<Duration>, expected: bool) {
        assert_eq!(freshness.is_served(now, max_age), expected);
    }
    fresh_manifest_is_served(confirmed_at(ms(1000)), ms(2000), MAX_AGE, true);
    old_manifest_is_not(confirmed_at(ms(1000)), ms(6000), MAX_AGE, false);
    bound_leaves_room_for_clocks(confirmed_at(ms(1000)), ms(5600), MAX_AGE, false);
    process_that_has_read_nothing_serves_none(Freshness::default(), ms(10), MAX_AGE, false);
    without_a_bound_all_is_served(Freshness::default(), ms(100_000), None, true);
}

/// Guards against an age that counts from the answer, or goes back to an earlier question.
#[test]
fn age_counts_from_the_latest_question() {
    let mut freshness = confirmed_at(ms(3000));
    freshness.confirm(ms(2000));
    assert_eq!(freshness.age(ms(4000)), Some(ms(1000)));
}

/// Guards against a record that cannot be read and hides a newer version.
#[test]
fn unreadable_record_renews_nothing() {
    let mut freshness = confirmed_at(ms(1000));
    freshness.record_readable(false);
    freshness.confirm(ms(9000));
    freshness.confirm_by_peer(ms(9000), ms(10));
    assert!(!freshness.is_served(ms(9100), MAX_AGE));
    freshness.record_readable(true);
    freshness.confirm(ms(9200));
    assert!(freshness.is_served(ms(9300), MAX_AGE));
}

/// Guards against a peer's old knowledge that counts as new.
#[test]
fn peer_confirms_with_its_own_age() {
    let mut freshness = confirmed_at(ms(1000));
    freshness.confirm_by_peer(ms(8000), ms(4000));
    assert_eq!(freshness.age(ms(8100)), Some(ms(4100)));
    freshness.confirm_by_peer(ms(8000), ms(9000));
    assert_eq!(freshness.age(ms(8100)), Some(ms(4100)));
}

/// Guards against daemons that all ask while the store answers: a long poll of a second confirms
/// the time at which it began, so the age reaches two seconds in calm.
#[test]
fn peers_are_asked_only_when_the_store_is_late() {
    let freshness = confirmed_at(ms(1000));
    let max_age = ms(5000);
    assert!(!freshness.is_ask_due(ms(3050), max_age));
    assert!(freshness.is_ask_due(ms(3500), max_age));
}

/// Guards against a message that another kind of datagram is taken for.
#[test]
fn message_is_told_from_others() {
    let reply = Message::Reply {
        id: 7,
        version: 3,
        age_ms: 40,
    };
    let datagram = reply.encode().expect("a datagram");
    assert_eq!(Message::decode(&datagram), Some(reply));
    assert_eq!(Message::decode(&datagram[1..]), None);
}
