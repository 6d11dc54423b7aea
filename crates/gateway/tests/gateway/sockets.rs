//! Options of the sockets, by what the system makes of them.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use bitterncart_gateway::connection::configure_socket;
use socket2::SockRef;

/// Silence of a sound peer that no connection may end for.
const TOLERATED_SILENCE: Duration = Duration::from_secs(2);

/// Step of the schedule.
const STEP: Duration = Duration::from_millis(10);

/// Time after the last byte at which the system gives up an idle connection. Probes are
/// sent from `idle` on, `interval` apart; with a user timeout, the connection ends at
/// the first one that is due after it, if an earlier one had no answer, however many
/// probes there were.
fn given_up_at(idle: Duration, interval: Duration, user_timeout: Duration) -> Duration {
    let mut at = idle + interval;
    while at < user_timeout {
        at += interval;
    }
    at
}

/// Guards against connections to sound replicas that end because the replica was silent
/// for a moment: the user timeout also ends the wait for answers to keep-alive probes.
#[test]
fn silence_of_a_sound_peer_ends_no_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
    configure_socket(&stream).expect("options");
    let socket = SockRef::from(&stream);
    let idle = socket.tcp_keepalive_time().expect("a time");
    let interval = socket.tcp_keepalive_interval().expect("an interval");
    let user_timeout = socket.tcp_user_timeout().expect("read").expect("set");
    // Bytes sent into the silence are not acknowledged for as long.
    assert!(user_timeout > TOLERATED_SILENCE, "{user_timeout:?}");
    let given_up_at = given_up_at(idle, interval, user_timeout);
    // The silence may begin at any time after the last byte; the first probe behind its
    // end is answered.
    let mut begins_at = Duration::ZERO;
    while begins_at < idle {
        let ends_at = begins_at + TOLERATED_SILENCE;
        assert!(
            ends_at < given_up_at,
            "from {begins_at:?}: ends at {given_up_at:?}"
        );
        begins_at += STEP;
    }
    // A connection that went silent for good still ends soon.
    assert!(given_up_at <= Duration::from_secs(4), "{given_up_at:?}");
}
