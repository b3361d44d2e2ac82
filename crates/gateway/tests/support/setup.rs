//! Configurations and requests of the shape of the deployments.

use std::net::SocketAddr;
use std::sync::Arc;

use dahliastile_core::id::{Incarnation, Server, Service, Vm, Zone};
use dahliastile_core::time::Span;
use dahliastile_gateway::account::Tokens;
use dahliastile_gateway::cluster::snapshot::{Backend, Resident, ResidentModel};
use dahliastile_gateway::config::{
    Config, EngineSpec, HttpLimits, Model, Route, RouteKind, ServiceConfig, Target,
};
use dahliastile_gateway::event::{CallerRequest, InferenceSpec, Report};
use dahliastile_gateway::feature::DisabledFeatures;
use dahliastile_gateway::request::fingerprint::Fingerprint;
use dahliastile_gateway::settings::{Settings, Tuning};

/// The service with engines.
pub const ENGINES: &str = "drafts";
/// The plain service.
pub const PLAIN: &str = "desk";
/// The base model.
pub const MODEL: &str = "base";

/// A name.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

/// The address of something by a number of its own.
pub fn address(kind: u8, number: usize) -> SocketAddr {
    let number = u16::try_from(number).expect("small").to_be_bytes();
    SocketAddr::from(([10, kind, number[0], number[1]], 80))
}

/// The zone of a VM or server, three zones in turn.
pub fn zone(number: usize) -> Zone {
    name(["north", "south", "west"][number % 3])
}

/// What a VM is told.
pub fn settings(number: usize, start: u64, tuning: &Tuning) -> Settings {
    Settings {
        vm: name(&format!("vm{number}")),
        zone: zone(number),
        address: address(1, number),
        incarnation: Incarnation(start),
        strength: 25,
        seed: 7 + number as u64,
        seeds: Vec::new(),
        tuning: tuning.clone(),
        without: DisabledFeatures::default(),
    }
}

/// The shape of the engines: the first deployment's places, with a small model.
pub fn engine_config() -> EngineSpec {
    EngineSpec {
        batch: 64,
        tokens: 120_000,
        memory_mb: 66_500.0,
        places: 5,
        loads_per_s: 2.9,
        models: vec![Model {
            name: MODEL.into(),
            size_mb: 65_100.0,
            adapter_mb: 12.0,
            load: Span::from_millis(720),
        }],
    }
}

/// A route.
pub fn route(
    prefix: &str,
    kind: RouteKind,
    service: &str,
    timeout: u64,
    attempts: u32,
    priority: u8,
) -> Arc<Route> {
    Arc::new(Route {
        name: format!("r{prefix}"),
        host: "host.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Span::from_millis(timeout),
        objective: Span::from_millis(1_000),
        pause: Span::from_millis(400),
        caller_timeout: Span::from_millis(if kind.stream() { 4_000 } else { timeout }),
        priority,
        public: false,
        attempts,
        targets: vec![Target {
            service: name(service),
            weight: 1,
        }],
    })
}

/// A configuration with one route of each kind.
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

/// What a draft asks of an engine.
pub fn work(adapter: &str, prompt_tokens: u32, max_output_tokens: u32) -> InferenceSpec {
    InferenceSpec {
        model: MODEL.into(),
        adapter: Some(adapter.into()),
        prompt_tokens,
        max_output_tokens,
        prompt_parts: Arc::default(),
    }
}

/// A short draft by an adapter, as most tests ask for.
pub fn adapter_request(id: &str, adapter: &str) -> CallerRequest {
    request(id, "/plan/x", 5_000, Some(work(adapter, 600, 15)))
}

/// One of many requests: three in four are drafts by sixty adapters in turn, the others for the plain service.
pub fn mixed_request(at: usize) -> CallerRequest {
    match at % 4 {
        0 => request(&format!("q{at}"), "/query/x", 2_000, None),
        _ => adapter_request(&format!("r{at}"), &format!("a{}", at * 7 % 60)),
    }
}

/// A request.
pub fn request(id: &str, path: &str, patience: u64, work: Option<InferenceSpec>) -> CallerRequest {
    CallerRequest {
        id: id.into(),
        host: "host.example".to_owned(),
        path: path.to_owned(),
        caller_timeout: Some(Span::from_millis(patience)),
        key: None,
        tokens: work
            .as_ref()
            .map(|w| Tokens(u64::from(w.prompt_tokens + w.max_output_tokens))),
        work,
        fingerprint: Fingerprint::of([path.as_bytes(), id.as_bytes()]),
    }
}

/// An engine as it describes itself before it is asked for a report.
pub fn backend(number: usize) -> Arc<Backend> {
    Arc::new(Backend {
        service: name(ENGINES),
        address: address(2, number),
        zone: zone(number),
        slots: 64,
        ready: true,
        bases: Vec::new(),
        start: Some(Incarnation(1)),
    })
}

/// The report of an engine that holds its base model and some adapters of it.
pub fn report(adapters: Vec<Resident>) -> Report {
    Report {
        models: vec![ResidentModel {
            model: MODEL.into(),
            version: 1,
            adapters,
        }],
        loading: Vec::new(),
        busy: false,
        orders: 0,
        start: Some(Incarnation(1)),
    }
}
