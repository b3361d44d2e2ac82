//! Configurations, settings, requests and engine reports that resemble those of the deployments.

use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Service, Vm, Zone};
use dahliastile_core::time::Span;
use dahliastile_gateway::account::Tokens;
use dahliastile_gateway::cluster::snapshot::{Backend, KnownBuild, Resident, ResidentModel};
use dahliastile_gateway::config::{
    Config, EngineSpec, HttpLimits, Model, Route, RouteKind, ServiceConfig, Target,
};
use dahliastile_gateway::event::{CallerRequest, InferenceSpec, Report};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::settings::{Settings, Tuning};

/// Port at which VMs take attempts of other VMs.
pub const RELAY_PORT: u16 = 7380;
/// Name of the service that has engines.
pub const ENGINES: &str = "drafts";
/// Name of the plain service.
pub const PLAIN: &str = "desk";
/// Name of the base model.
pub const MODEL: &str = "base";

/// Parses the name of a VM, server, service, zone or account.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid name")
}

/// Returns the address of the VM (kind 1), engine (kind 2) or plain server (kind 3) with this number.
pub fn address(kind: u8, number: usize) -> SocketAddr {
    let number = u16::try_from(number)
        .expect("the number fits into 16 bits")
        .to_be_bytes();
    SocketAddr::from(([10, kind, number[0], number[1]], 80))
}

/// Returns the availability zone of the VM or server with this number: one of three in turn.
pub fn zone(number: usize) -> Zone {
    name(["north", "south", "west"][number % 3])
}

/// Returns the settings that a VM starts with.
pub fn settings(number: usize, incarnation: u64, tuning: &Tuning) -> Settings {
    Settings {
        vm: name(&format!("vm{number}")),
        zone: zone(number),
        address: address(1, number),
        relay_port: Some(RELAY_PORT),
        incarnation: Incarnation(incarnation),
        strength: 25,
        seed: 7 + number as u64,
        seeds: Vec::new(),
        tuning: tuning.clone(),
        without: DisabledFeatures::default(),
    }
}

/// Returns the specification of the engines: the adapter slots of the first deployment, with a small base
/// model.
pub fn engine_config() -> EngineSpec {
    EngineSpec {
        batch: 64,
        tokens: 120_000,
        memory_mb: 66_500.0,
        adapter_slots: 5,
        loads_per_s: 2.9,
        models: vec![Model {
            name: MODEL.into(),
            size_mb: 65_100.0,
            adapter_mb: 12.0,
            load: Span::from_millis(720),
        }],
    }
}

/// Returns a route. Priority 0 is the highest.
pub fn route(
    prefix: &str,
    kind: RouteKind,
    service: &str,
    timeout_ms: u64,
    attempts: u32,
    priority: u8,
) -> Arc<Route> {
    Arc::new(Route {
        name: format!("r{prefix}"),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Span::from_millis(timeout_ms),
        objective: Span::from_millis(1_000),
        pause: Span::from_millis(400),
        caller_timeout: Span::from_millis(if kind.is_stream() { 4_000 } else { timeout_ms }),
        priority,
        public: false,
        attempts,
        targets: vec![Target {
            service: name(service),
            weight: 1,
        }],
    })
}

/// Returns a configuration that has routes of each kind, one service with engines and one plain service.
pub fn config(version: u64) -> Config {
    Config {
        version,
        routes: vec![
            route("/plan/", RouteKind::Stream, ENGINES, 5_000, 1, 1),
            route("/brief/", RouteKind::Stream, ENGINES, 15_000, 1, 0),
            route("/berth/", RouteKind::Resumable, ENGINES, 8_000, 2, 1),
            route("/post/", RouteKind::Unsafe, PLAIN, 2_000, 1, 2),
            route("/query/", RouteKind::Safe, PLAIN, 2_000, 2, 2),
        ],
        services: vec![
            Arc::new(ServiceConfig {
                name: name(ENGINES),
                engine: Some(engine_config()),
            }),
            Arc::new(ServiceConfig {
                name: name(PLAIN),
                engine: None,
            }),
        ],
        limits: HttpLimits::default(),
        accounts: None,
    }
}

/// Returns what a request asks of an engine. The prompt and the output are in tokens.
pub fn inference_spec(adapter: &str, prompt_tokens: u32, max_output_tokens: u32) -> InferenceSpec {
    InferenceSpec {
        model: MODEL.into(),
        adapter: Some(adapter.into()),
        prompt_tokens,
        max_output_tokens,
        prompt_parts: Arc::default(),
    }
}

/// Returns a short request to an adapter, as most tests send.
pub fn adapter_request(id: &str, adapter: &str) -> CallerRequest {
    request(id, "/plan/x", 5_000, Some(inference_spec(adapter, 600, 15)))
}

/// Returns request number `at` of a mixed load: three in four requests go to one of sixty adapters in turn,
/// the others to the plain service.
pub fn mixed_request(at: usize) -> CallerRequest {
    match at % 4 {
        0 => request(&format!("q{at}"), "/query/x", 2_000, None),
        _ => adapter_request(&format!("r{at}"), &format!("a{}", at * 7 % 60)),
    }
}

/// Returns a request whose caller waits for `timeout_ms` milliseconds.
pub fn request(
    id: &str,
    path: &str,
    timeout_ms: u64,
    work: Option<InferenceSpec>,
) -> CallerRequest {
    CallerRequest {
        id: id.into(),
        host: "host.example".to_owned(),
        path: path.to_owned(),
        caller_timeout: Some(Span::from_millis(timeout_ms)),
        key: None,
        tokens: work
            .as_ref()
            .map(|w| Tokens(u64::from(w.prompt_tokens + w.max_output_tokens))),
        work,
        fingerprint: Fingerprint::of([path.as_bytes(), id.as_bytes()]),
        resumes: None,
    }
}

/// Returns the entry of an engine that names no base models: a scheduler learns of these from the engine's
/// report.
pub fn backend(number: usize) -> Arc<Backend> {
    Arc::new(Backend {
        service: name(ENGINES),
        address: address(2, number),
        zone: zone(number),
        slots: 64,
        ready: true,
        base_models: Vec::new(),
        start: Some(Incarnation(1)),
        build: KnownBuild(Some(name("-"))),
    })
}

/// Returns the report of an engine that holds its base model and these adapters.
pub fn report(adapters: Vec<Resident>) -> Report {
    Report {
        models: vec![ResidentModel {
            model: MODEL.into(),
            version: 1,
            adapters,
        }],
        loading: Vec::new(),
        local_models: Vec::new(),
        busy: false,
        orders: 0,
        start: Some(Incarnation(1)),
    }
}
