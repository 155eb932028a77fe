//! Parsing arbitrary responses: no panic, and "not run" only if the response says so.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sequoiatrail_platform::{
    Changes, Error, Listing, Object, RawResponse, Refusal, Vm, WriteResponse, kind_of, parse,
};
use sequoiatrail_types::Verdict;
use serde_json::json;

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

fn statuses() -> impl Strategy<Value = u16> {
    prop_oneof![
        Just(200),
        Just(400),
        Just(404),
        Just(410),
        Just(412),
        Just(429),
        Just(503),
        any::<u16>()
    ]
}

/// A valid body with some bytes overwritten.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let bodies = [
        json!({"key": "plans/1", "revision": 3, "value": {"a": [1, 2]}}),
        json!({"revision": 3}),
        json!({"revision": 3, "objects": [{"key": "plans/1", "revision": 3, "value": 1}]}),
        json!({"revision": 3, "changes": [{"key": "a", "revision": 3, "value": null}]}),
        json!({"error": "no", "ran": false, "current": 4}),
        json!([{"name": "a", "address": "127.0.0.1:1", "failure_domain": 1, "state": "live"}]),
    ]
    .map(|body| body.to_string().into_bytes());
    let writes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    (prop::sample::select(bodies.to_vec()), writes).prop_map(|(mut body, writes)| {
        for (at, byte) in writes {
            let at = at.index(body.len());
            body[at] = byte;
        }
        body
    })
}

/// Parses a response as each type and checks the verdict against its body.
fn parse_as_each_type(status: u16, retry_after: Option<&str>, body: &[u8]) {
    let response = RawResponse {
        status,
        retry_after,
        body,
    };
    let errors = [
        parse::<Object>(response).err(),
        parse::<WriteResponse>(response).err(),
        parse::<Listing>(response).err(),
        parse::<Changes>(response).err(),
        parse::<Vec<Vm>>(response).err(),
    ];
    let refusal = serde_json::from_slice::<Refusal>(body);
    let says_not_run = refusal.is_ok_and(|r| !r.ran) && !(200..300).contains(&status);
    for error in errors.into_iter().flatten() {
        let not_run = matches!(error.verdict(), Verdict::NotRun(_));
        assert_eq!(not_run, says_not_run, "{error:?}");
    }
}

proptest! {
    #![proptest_config(config(50_000))]

    #[test]
    fn any_bytes_are_parsed_or_rejected(
        status in statuses(),
        retry_after in prop::option::of("[ -~]{0,12}"),
        body in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        parse_as_each_type(status, retry_after.as_deref(), &body);
    }

    #[test]
    fn nearly_valid_responses_are_parsed_or_rejected(status in statuses(), body in mutated()) {
        parse_as_each_type(status, Some("3"), &body);
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn parsing_any_key_does_not_panic(key in "(tables/|plans/|balancers/)?[ -~]{0,24}") {
        let _ = kind_of(&key);
    }
}

#[test]
fn a_server_error_without_a_verdict_may_have_run() {
    for status in [500, 502, 503, 504, 429, 412] {
        for body in ["", "<html>", "{}", "{\"error\":\"x\",\"ran\":true}"] {
            let response = RawResponse {
                status,
                retry_after: None,
                body: body.as_bytes(),
            };
            let error = parse::<WriteResponse>(response).unwrap_err();
            assert_eq!(error.verdict(), Verdict::MayHaveRun, "{status} {body}");
        }
    }
}

#[test]
fn a_retry_after_value_is_capped() {
    let response = RawResponse {
        status: 429,
        retry_after: Some("99999999999"),
        body: b"{\"error\":\"x\",\"ran\":false}",
    };
    let error = parse::<WriteResponse>(response).unwrap_err();
    assert!(matches!(error, Error::Refused { .. }));
    assert!(error.retry_delay().unwrap().as_secs() <= 3_600);
}
