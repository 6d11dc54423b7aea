//! Finds the customer of a request by its key.
//!
//! The key leaves the message here: replicas, peers and the ledger get the name of the
//! customer. What a client writes into the header for that name is dropped. Where the
//! manifest names no customers, requests pass unchanged.

use std::time::Duration;

use bitterncart_coordination::fleet::customer::Credential;
use bitterncart_coordination::fleet::{Customer, Customers, Kind, Manifest, Route};
use bitterncart_protocol::Code;
use bitterncart_state::ledger::{Item, Job};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::clock;
use crate::core::Core;
use crate::dialect::{Dialect, HeaderNames};
use crate::server::Endpoint;
use crate::store::Store;

/// Age of the manifest up to which an unknown key is known to be none. A long poll lasts one
/// second and confirms the time at which it began, so the age is between one and two
/// seconds in calm. Later, a newer version may hold the key.
const MAX_AGE_FOR_UNKNOWN_KEY: Duration = Duration::from_millis(2500);

/// Whose jobs a request may submit or ask about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// Those of anyone: requests need no key.
    Any,
    /// Those of a customer.
    Customer(Customer),
    /// Those of no customer, by a request without a key.
    Public,
}

impl Access {
    /// Customer of the request, if it has one.
    pub(crate) fn customer(&self) -> Option<&Customer> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Any | Self::Public => None,
        }
    }

    /// Whether a job may be asked about. One from before the deployment named customers
    /// belongs to no one in particular.
    pub(crate) fn includes(&self, job: &Job) -> bool {
        match (&job.submission.customer, self) {
            (None, _) | (_, Self::Any) => true,
            (Some(owner), Self::Customer(customer)) => *owner == customer.name,
            (Some(_), Self::Public) => false,
        }
    }
}

/// Identifies the customer of a request on a route, and replaces its key by its name.
///
/// # Errors
///
/// If the key is missing, unknown, or may have been withdrawn.
pub(crate) fn identify<S: Store, D: Dialect>(
    core: &Core<S, D>,
    manifest: &Manifest,
    route: &Route,
    headers: &mut HeaderMap,
    endpoint: Endpoint,
) -> Result<Access, Code> {
    let Some(customers) = &manifest.customers else {
        return without_customers(core, headers, endpoint);
    };
    let caller = Caller::take(core, customers, headers, endpoint);
    if route.is_public {
        headers.remove(&core.dialect.header_names().customer);
        return Ok(Access::Public);
    }
    caller.admit(core).map(Access::Customer)
}

/// Identifies the customer of a call about a job, and replaces its key by its name.
///
/// # Errors
///
/// If the key is missing, unknown, or may have been withdrawn, or no manifest is known
/// where calls may need one.
pub(crate) fn identify_call<S: Store, D: Dialect>(
    core: &Core<S, D>,
    headers: &mut HeaderMap,
    endpoint: Endpoint,
) -> Result<Access, Code> {
    let Some(manifest) = core.manifest() else {
        let may_need_keys = core.current_settings().max_manifest_age_ms.is_some();
        return if may_need_keys {
            Err(Code::NoConfiguration)
        } else {
            Ok(Access::Any)
        };
    };
    let Some(customers) = &manifest.customers else {
        return without_customers(core, headers, endpoint);
    };
    let mut routes = manifest.routes.iter();
    let has_public_jobs = routes.any(|route| route.kind == Kind::Batch && route.is_public);
    match Caller::take(core, customers, headers, endpoint) {
        Caller::Unnamed if has_public_jobs => Ok(Access::Public),
        caller => caller.admit(core).map(Access::Customer),
    }
}

/// Access where the manifest names no customers. If the settings bound its age, a newer one
/// may name some: the name that a client writes must not reach a peer that has it.
fn without_customers<S: Store, D: Dialect>(
    core: &Core<S, D>,
    headers: &mut HeaderMap,
    endpoint: Endpoint,
) -> Result<Access, Code> {
    if core.current_settings().max_manifest_age_ms.is_none() {
        return Ok(Access::Any);
    }
    if !core.is_manifest_current() {
        return Err(Code::ConfigurationStale);
    }
    if endpoint == Endpoint::Clients {
        headers.remove(&core.dialect.header_names().customer);
    }
    Ok(Access::Any)
}

/// Removes keys and customers' names that a client wrote into items.
pub(crate) fn strip_items(items: &mut [Item], names: &HeaderNames) {
    for item in items {
        item.headers.retain(|(name, _)| {
            let is = |header: &HeaderName| name.eq_ignore_ascii_case(header.as_str());
            !is(&names.caller) && !is(&names.customer)
        });
    }
}

/// Who sent a request.
enum Caller {
    /// A customer.
    Known(Customer),
    /// It has a key that the manifest does not hold.
    Unknown,
    /// A peer identified it by a version of the manifest that this daemon does not have.
    UnknownName,
    /// It has no key.
    Unnamed,
}

impl Caller {
    /// Reads the caller from the headers. Its key is removed, and the name is set.
    fn take<S: Store, D: Dialect>(
        core: &Core<S, D>,
        customers: &Customers,
        headers: &mut HeaderMap,
        endpoint: Endpoint,
    ) -> Self {
        let names = core.dialect.header_names();
        let named = headers.remove(&names.customer);
        let key = headers
            .get(&names.caller)
            .and_then(|credentials| core.dialect.parse_key(credentials))
            .map(Credential::of);
        let by_key = key.and_then(|credential| customers.find(credential));
        let found = match (endpoint, &named) {
            // A peer has identified the customer.
            (Endpoint::Peers, Some(name)) => {
                name.to_str().ok().and_then(|name| customers.named(name))
            }
            _ => by_key,
        };
        // Other credentials may be meant for the service. A key that is not known here may be
        // one of an older or a newer version.
        let mut credentials = headers.get_all(&names.caller).iter();
        if found.is_some() || credentials.any(|value| core.dialect.parse_key(value).is_some()) {
            headers.remove(&names.caller);
        }
        match found {
            Some(customer) => {
                if let Ok(name) = HeaderValue::from_str(&customer.name) {
                    headers.insert(names.customer.clone(), name);
                }
                Self::Known(customer.clone())
            }
            None if endpoint == Endpoint::Peers && named.is_some() => Self::UnknownName,
            None if key.is_some() => Self::Unknown,
            None => Self::Unnamed,
        }
    }

    /// Customer, if it may be served now.
    fn admit<S: Store, D: Dialect>(self, core: &Core<S, D>) -> Result<Customer, Code> {
        let age = core.freshness().age(clock::now());
        match self {
            _ if !core.is_manifest_current() => Err(Code::ConfigurationStale),
            Self::Known(customer) => Ok(customer),
            // The peer then handles the call itself.
            Self::UnknownName => Err(Code::OwnerUnreachable),
            Self::Unknown if age.is_none_or(|age| age > MAX_AGE_FOR_UNKNOWN_KEY) => {
                Err(Code::ConfigurationStale)
            }
            Self::Unknown | Self::Unnamed => Err(Code::BadCredentials),
        }
    }
}
