//! Validation of catalogs, and the lookup of routes and tenants.

mod common;

use common::{catalog, parts, route, service, tenant};
use rstest::rstest;
use std::time::Duration;
use topazmount_gateway::{Catalog, CatalogError, CatalogParts, Route, RouteKind, SplitPart};

fn error_after(change: impl FnOnce(&mut CatalogParts)) -> CatalogError {
    let mut parts = parts(1);
    change(&mut parts);
    Catalog::new(parts).unwrap_err()
}

#[test]
fn each_invalid_catalog_has_its_error() {
    let unknown = error_after(|parts| parts.routes.push(route("x", "h", "/x/", "nobody")));
    assert!(matches!(unknown, CatalogError::UnknownService { .. }));
    let same_route =
        error_after(|parts| parts.routes.push(route("x", "SHOP.example", "/a/", "first")));
    assert!(matches!(same_route, CatalogError::DuplicateRoute { .. }));
    let zero_weight = error_after(|parts| parts.routes[0].split[0].weight = 0);
    assert_eq!(zero_weight, CatalogError::ZeroWeight("short".to_owned()));
    let empty_split = error_after(|parts| parts.routes[0].split.clear());
    assert_eq!(empty_split, CatalogError::ZeroWeight("short".to_owned()));
    let zero_timeout = error_after(|parts| parts.routes[1].timeout = Duration::ZERO);
    assert_eq!(zero_timeout, CatalogError::ZeroTimeout("long".to_owned()));
    let same_name = error_after(|parts| parts.services.push(service("first")));
    assert_eq!(same_name, CatalogError::DuplicateService("first".to_owned()));
    let shared =
        error_after(|parts| parts.tenants.as_mut().unwrap().push(tenant("other", "key-1")));
    assert!(matches!(shared, CatalogError::DuplicateKey(..)));
}

#[test]
fn a_part_may_have_weight_zero() {
    let mut parts = parts(1);
    parts.routes[0].split.push(SplitPart { service: "second".to_owned(), weight: 0 });
    assert!(Catalog::new(parts).is_ok());
}

#[rstest]
#[case("shop.example", "/a/x", Some("short"))]
#[case("SHOP.EXAMPLE", "/a/x", Some("short"))]
#[case("shop.example", "/a/b/x", Some("long"))]
#[case("shop.example", "/a/bx", Some("short"))]
#[case("shop.example", "/a", None)]
#[case("shop.example", "/b/", None)]
#[case("other.example", "/a/x", None)]
fn the_longest_prefix_wins(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let catalog = catalog(1);
    let found = catalog.route(host, path).map(|(_, route)| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn keys_identify_their_tenants() {
    let catalog = catalog(1);
    assert_eq!(catalog.tenant("key-1").unwrap().name, "tenant-1");
    assert!(catalog.tenant("key-2").is_none());
}

/// Guards against streams that are resumed at another service than the one that began them.
#[test]
fn a_change_of_a_streams_services_is_not_seen() {
    let with_stream = |change: &dyn Fn(&mut Route)| {
        let mut parts = parts(1);
        let mut stream = Route { kind: RouteKind::Streaming, ..route("s", "h", "/s/", "first") };
        change(&mut stream);
        parts.routes.push(stream);
        Catalog::new(parts).unwrap().stream_routing()
    };
    let second = SplitPart { service: "second".to_owned(), weight: 1 };
    let before = with_stream(&|_| {});
    assert_eq!(with_stream(&|route| route.timeout = Duration::from_secs(9)), before);
    assert_eq!(with_stream(&|route| route.split[0].weight = 7), before);
    assert_eq!(with_stream(&|route| route.host = "H".to_owned()), before);
    assert_ne!(with_stream(&|route| route.split.push(second.clone())), before);
    assert_ne!(with_stream(&|route| route.split = vec![second.clone()]), before);
    assert_ne!(with_stream(&|route| route.path_prefix = "/t/".to_owned()), before);
    assert_ne!(with_stream(&|route| route.kind = RouteKind::Idempotent), before);
}
