//! Tests of the routes of calls.

use crate::service_route;

fn state() -> note::StateInForce {
    let text = r#"
revision: 1
base: true
added:
  services:
    - {name: orders, path_prefix: /orders}
    - {name: stock, path_prefix: /orders/stock}
    - {name: pricing, host: pricing.example}
  classes:
    - name: order-calls
      target:
        call:
          service: orders
          timeout_ms: 2000
          routes:
            - {method: POST, path: /, idempotent: false}
            - {method: POST, path: /quote, idempotent: true}
            - {method: GET, path: /next-number, idempotent: false}
    - name: stock-calls
      target: {call: {service: stock, timeout_ms: 500, routes: []}}
    - name: price-calls
      target: {call: {service: pricing, timeout_ms: 500, routes: []}}
"#;
    let note = note::ReleaseNote::from_yaml(text).unwrap();
    note::StateInForce::from_base(&note)
}

fn route(method: http::Method, host: Option<&str>, path: &str) -> Option<(String, bool)> {
    let route = service_route::ServiceRoute::find(&state(), &method, host, path)?;
    Some((route.service.to_string(), route.idempotent))
}

fn to(service: &str, idempotent: bool) -> Option<(String, bool)> {
    Some((service.to_owned(), idempotent))
}

#[test]
fn the_longest_rule_decides_whether_a_call_is_idempotent() {
    let post = http::Method::POST;

    let confirm = route(post.clone(), None, "/orders/confirm");
    let quote = route(post.clone(), None, "/orders/quote/7");
    let similar = route(post, None, "/orders/quotes");

    assert_eq!(confirm, to("orders", false));
    assert_eq!(quote, to("orders", true));
    assert_eq!(similar, to("orders", false));
}

#[test]
fn a_call_without_a_rule_is_idempotent_only_by_a_safe_method() {
    let get = route(http::Method::GET, None, "/orders/17");
    let ruled = route(http::Method::GET, None, "/orders/next-number");
    let delete = route(http::Method::DELETE, None, "/orders/17");
    let unknown = route(
        http::Method::from_bytes(b"BREW").unwrap(),
        None,
        "/orders/17",
    );

    assert_eq!(get, to("orders", true));
    assert_eq!(ruled, to("orders", false));
    assert_eq!(delete, to("orders", false));
    assert_eq!(unknown, to("orders", false));
}

#[test]
fn a_service_is_found_by_host_then_by_the_longest_whole_prefix() {
    let get = http::Method::GET;

    let by_host = route(get.clone(), Some("pricing.example:8080"), "/orders/1");
    let nested = route(get.clone(), Some("other.example"), "/orders/stock/1");
    let partial = route(get, None, "/ordersheet");

    assert_eq!(by_host, to("pricing", true));
    assert_eq!(nested, to("stock", true));
    assert_eq!(partial, None);
}
