//! Calls of the C library that the standard library does not offer, and free ports.

use std::ffi::c_void;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of the signal that ends a process.
const SIGKILL: i32 = 9;

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn prctl(option: i32, argument: usize) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, len: u32) -> i32;
}

/// Lets the calling process end with its parent.
pub fn end_with_parent() {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call takes plain numbers.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as usize) };
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let size = size_of::<Linger>() as u32;
    // SAFETY: the pointer and the size describe a value that lives during the call.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            (&raw const linger).cast(),
            size,
        )
    };
    drop(stream);
}

/// Loopback address with a port.
pub fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Ports from which servers are given theirs, below those of outgoing connections. Each
/// run has a range of its own, so that runs at the same time do not meet.
const FIRST_PORT: u32 = 10_000;
const RANGES: u32 = 220;
const PORTS_PER_RANGE: u32 = 100;

/// Ports that are free for TCP and UDP.
pub fn free_ports(count: usize) -> Vec<u16> {
    let first = FIRST_PORT + std::process::id() % RANGES * PORTS_PER_RANGE;
    let range = first..first + PORTS_PER_RANGE;
    let free = range.map(|port| port as u16).filter(|port| {
        TcpListener::bind(loopback(*port)).is_ok() && UdpSocket::bind(loopback(*port)).is_ok()
    });
    let ports: Vec<u16> = free.take(count).collect();
    assert!(ports.len() == count, "the range has too few free ports");
    ports
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

/// Small random numbers, seeded by the time (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(seed.map_or(1, |time| time.as_nanos() as u64) | 1)
    }

    pub fn with_seed(seed: u64) -> Self {
        Self(seed | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Id of 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}
