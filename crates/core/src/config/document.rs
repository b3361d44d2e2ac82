//! The operators' configuration as it is written, stored and edited.

use serde::{Deserialize, Serialize};

use crate::id;

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Callers and their tokens.
    pub callers: Vec<Caller>,
    /// Model deployments and plain services.
    pub services: Vec<Service>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Adapters and their versions.
    pub adapters: Vec<Adapter>,
    /// When-then rules. The first that matches decides.
    pub rules: Vec<Rule>,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its name.
    pub name: id::Caller,
    /// The tenant it is counted for.
    pub tenant: id::Tenant,
    /// Its traffic class.
    #[serde(default = "default_class")]
    pub class: id::Class,
    /// The BLAKE3 hash of its bearer token, in hexadecimal.
    pub token_hash: String,
    /// Its share of a queue against other callers.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests a second on each VM, or none for no limit.
    #[serde(default)]
    pub rate: Option<u32>,
}

fn default_class() -> id::Class {
    "default".parse().expect("a constant name is well-formed")
}

const fn one() -> u32 {
    1
}

/// What kind of service it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Engines that hold a base model and adapters.
    Model,
    /// Servers that answer any path.
    Plain,
}

/// A model deployment or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Its kind.
    pub kind: Kind,
    /// Whether its servers refuse orders with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// The weight of load stalls in placement.
    #[serde(default = "one_f64")]
    pub stall_weight: f64,
    /// The weight of batch efficiency in placement.
    #[serde(default = "one_f64")]
    pub batch_weight: f64,
    /// The weight store that its adapters come from.
    #[serde(default)]
    pub store: Option<id::Store>,
    /// How long one load takes at full speed, in milliseconds.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// How long the base model takes to load, in milliseconds.
    #[serde(default)]
    pub base_load_ms: u64,
    /// Whether its work is not idempotent unless a rule says otherwise.
    #[serde(default)]
    pub non_idempotent: bool,
    /// The timeout of requests that name none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Requests that may wait on one VM.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

const fn one_f64() -> f64 {
    1.0
}

const fn default_load_ms() -> u64 {
    333
}

const fn default_timeout_ms() -> u64 {
    60_000
}

const fn default_queue() -> u32 {
    1_000
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: id::Server,
    /// The service it belongs to.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address, as host and port.
    pub address: String,
    /// The control domain it belongs to; plain servers have none.
    #[serde(default)]
    pub domain: Option<id::Domain>,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// An adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name.
    pub name: String,
    /// The service whose engines run it.
    pub service: id::Service,
    /// Its versions.
    pub versions: Vec<String>,
}

/// A when-then rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name, unique in the list.
    pub name: id::Rule,
    /// Which requests it decides. An empty condition matches all.
    #[serde(default)]
    pub when: When,
    /// What it decides.
    #[serde(default)]
    pub then: Then,
}

/// The condition of a rule: all fields that are set must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// The caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<id::Caller>,
    /// The tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<id::Tenant>,
    /// The adapter's name, without a version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The adapter's version.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<id::Service>,
    /// The traffic class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<id::Class>,
    /// The caller's availability zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<id::Zone>,
    /// A request header and its value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
}

/// A request header that a rule tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its whole value.
    pub value: String,
}

/// The decision of a rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Then {
    /// Servers in this zone first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefer_zone: Option<id::Zone>,
    /// Servers in this zone only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub require_zone: Option<id::Zone>,
    /// These servers only.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pin: Vec<id::Server>,
    /// Not these servers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<id::Server>,
    /// The priority; smaller runs first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Requests a second that match this rule, on each VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<u32>,
    /// The longest timeout, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the work is not idempotent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub non_idempotent: Option<bool>,
    /// How long a cold request may be held back to fill a batch, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<u64>,
    /// Refuse the request, with this reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<String>,
}
