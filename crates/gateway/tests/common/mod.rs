//! Sample catalogs, replicas and prompts for tests.
#![allow(dead_code)]

use std::time::Duration;
use topazmount_gateway::{
    Catalog, CatalogParts, ChoiceRequest, EngineParameters, Prompt, PromptPart, Route, RouteKind,
    Service, SplitPart, Tenant,
};
use topazmount_types::{Instance, Start};

/// Creates a route to one service.
pub fn route(name: &str, host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(300),
        priority: 1,
        split: vec![SplitPart { service: service.to_owned(), weight: 1 }],
        attempts: 2,
        is_public: false,
        is_resumable: false,
    }
}

/// Creates a service without engines.
pub fn service(name: &str) -> Service {
    Service { name: name.to_owned(), max_connections: 100, engine: None, store: None }
}

/// Sample engine parameters.
pub fn engine() -> EngineParameters {
    EngineParameters {
        slots: 32,
        kv_capacity_tokens: 100_000,
        token_bytes: 163_840.0,
        link_mbps: 1_100_000.0,
        models: vec!["model".to_owned()],
    }
}

/// Creates a request for a replica of the service `pool`.
pub fn choice_request<'a>(
    prompt: &'a Prompt,
    engine: Option<&'a EngineParameters>,
) -> ChoiceRequest<'a> {
    ChoiceRequest {
        service: "pool",
        tenant: 0,
        prompt: Some(prompt),
        model: Some("model"),
        namespace: 1,
        isolated_tenant: None,
        tried: &[],
        pinned_to: None,
        engine,
        software: None,
    }
}

/// Creates a tenant with one key.
pub fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        api_keys: vec![key.to_owned()],
        priority: 1,
        is_isolated: false,
        limit: None,
    }
}

/// Parts of a valid catalog with two routes on one host, two services and one tenant.
pub fn parts(version: u64) -> CatalogParts {
    CatalogParts {
        version,
        routes: vec![
            route("short", "shop.example", "/a/", "first"),
            route("long", "shop.example", "/a/b/", "second"),
        ],
        services: vec![service("first"), service("second")],
        tenants: Some(vec![tenant("tenant-1", "key-1")]),
        ..CatalogParts::default()
    }
}

/// Creates the catalog of [`parts`].
pub fn catalog(version: u64) -> Catalog {
    Catalog::new(parts(version)).unwrap()
}

/// Creates a replica of a service in a zone.
pub fn instance(id: &str, service: &str, zone: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: service.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: zone.to_owned(),
        slots: 32,
        is_draining: false,
        changed_at: 1,
        start: Start::UNKNOWN,
        software: String::new(),
    }
}

/// Creates a prompt from the identifiers and lengths of its parts.
pub fn prompt(parts: &[(u64, u32)]) -> Prompt {
    let parts: Vec<PromptPart> =
        parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect();
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    Prompt { parts, prompt_tokens, output_tokens: 10 }
}

/// Defines a test for each named case: `cases! { check: name => argument, argument; ... }`.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident => $($argument:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),+);
            }
        )+
    };
}
