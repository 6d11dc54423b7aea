//! Interface for the wire format of clients and replicas.
//!
//! A [`Dialect`] names the headers, recognizes calls about batch jobs, and
//! encodes or decodes the bodies that the daemon itself reads or writes. All
//! other parts of requests and responses pass through unchanged.

use std::time::Duration;

use bitterncart_coordination::fleet::Part;
use bitterncart_state::ledger::{Item, Job};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// Header names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a client attempt; replicas echo it.
    pub attempt_id: HeaderName,
    /// Credentials of the caller.
    pub caller: HeaderName,
    /// Name of the customer, as replicas get it.
    pub customer: HeaderName,
    /// Remaining time until the deadline of a request, in milliseconds.
    pub deadline: HeaderName,
    /// Id of the replica that a request is addressed to.
    pub expected_replica: HeaderName,
    /// States that the replica has not run the request.
    pub not_run: HeaderName,
    /// States that the replica that answers is leaving.
    pub leaving: HeaderName,
    /// Requests a second that the replica that answers takes from all daemons.
    pub rate_limit: HeaderName,
    /// Signature that proves that a response comes from a replica.
    pub signature: HeaderName,
    /// Id of the last event received.
    pub last_event_id: HeaderName,
    /// Id of the client attempt that began the stream which a request takes up.
    pub resumes: HeaderName,
    /// Time for which a read may wait for new results, in milliseconds.
    pub long_poll: HeaderName,
    /// Name of the slot reserved for a request.
    pub reservation: HeaderName,
}

/// Call about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read results from a position.
    Results {
        /// Job id.
        job: CompactString,
        /// Position of the first result.
        after: usize,
    },
    /// Read the body of an item.
    ItemBody {
        /// Job id.
        job: CompactString,
        /// Item id.
        item: CompactString,
    },
    /// Cancel a job.
    Cancel {
        /// Job id.
        job: CompactString,
    },
}

impl Call {
    /// Id of the job.
    #[must_use]
    pub fn job(&self) -> &CompactString {
        match self {
            Self::Results { job, .. } | Self::ItemBody { job, .. } | Self::Cancel { job } => job,
        }
    }
}

/// Wire format of clients and replicas.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Header names.
    fn header_names(&self) -> &HeaderNames;

    /// Key of a customer in the credentials of a request; `None` if they are of another
    /// kind.
    fn parse_key<'a>(&self, credentials: &'a HeaderValue) -> Option<&'a [u8]>;

    /// Recognizes a call about a batch job.
    fn parse_call(&self, method: &Method, uri: &Uri) -> Option<Call>;

    /// Parses the items of a submission.
    ///
    /// # Errors
    ///
    /// Why the body is invalid.
    fn parse_items(&self, body: &[u8]) -> Result<Vec<Item>, String>;

    /// Encodes the results of a job from a position: those that fit in `max_bytes`, or the
    /// first one alone.
    fn encode_results(&self, job: &Job, after: usize, max_bytes: usize) -> Bytes;

    /// Path and body of the call that reserves a slot at a replica for a request
    /// with these headers; `None` if the size of the request is not known.
    fn encode_reservation(&self, _headers: &HeaderMap, _for: Duration) -> Option<(Uri, Bytes)> {
        None
    }

    /// Parses the name of the reserved slot from the response to that call.
    fn parse_reservation(&self, _body: &[u8]) -> Option<HeaderValue> {
        None
    }

    /// Parts of a request's prompt that other requests may share, at most
    /// [`MAX_SHARED_PARTS`](bitterncart_coordination::fleet::prompt::MAX_SHARED_PARTS).
    fn shared_parts(&self, _headers: &HeaderMap) -> Vec<Part> {
        Vec::new()
    }

    /// Value of the `Retry-After` header.
    fn retry_after(&self, after: Duration) -> String {
        format!("{:.3}", after.as_secs_f64())
    }
}
