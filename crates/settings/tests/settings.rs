//! Validation of each key, and agreement of docs and example with the code.

use std::path::Path;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use sequoiatrail_settings::{Settings, from_toml, keys, markdown};

const FILE: &str = "balancer.toml";

fn load_error(text: &str) -> String {
    let err = from_toml(Path::new(FILE), text).expect_err(text);
    err.to_string()
}

#[test]
fn empty_file_gives_the_defaults() {
    let loaded = from_toml(Path::new(FILE), "").unwrap();
    assert_eq!(loaded.settings, Settings::default());
}

#[test]
fn error_names_file_key_value_and_allowed_values() {
    insta::assert_snapshot!(
        load_error("[data]\nthreads = 0"),
        @"balancer.toml: data.threads = 0 is not allowed; allowed: 1 to 64"
    );
    insta::assert_snapshot!(
        load_error("[data]\nlisten = \"nowhere\""),
        @r#"balancer.toml: data.listen = "nowhere" is not allowed; allowed: an IP address and port"#
    );
    insta::assert_snapshot!(
        load_error("[log]\nlevel = \"loud\""),
        @r#"balancer.toml: log.level = "loud" is not allowed; allowed: error, warning, info, debug, trace"#
    );
    insta::assert_snapshot!(
        load_error("node = 3"),
        @"balancer.toml: node = 3 is not allowed; allowed: a section"
    );
}

#[test]
fn rejected_secret_is_not_shown() {
    let text = load_error("[peers]\nkey = \"short\"");
    assert!(!text.contains("short"), "{text}");
}

#[test]
fn seeds_without_a_key_are_rejected() {
    insta::assert_snapshot!(
        load_error("[peers]\nseeds = [\"10.0.0.1:7101\"]"),
        @"balancer.toml: peers.key = (not shown) is not allowed; allowed: at least 16 bytes while peers.seeds names balancers"
    );
}

#[test]
fn unknown_keys_are_named_with_their_section() {
    let text = "[data]\nthread = 4\n[nodes]\nname = \"a\"";
    let loaded = from_toml(Path::new(FILE), text).unwrap();
    assert_eq!(loaded.unknown, ["data.thread", "nodes"]);
}

#[test]
fn every_key_rejects_a_value_of_another_type() {
    for k in keys() {
        let text = format!("[{}]\n{} = 1979-05-27", k.section, k.key);
        let err = load_error(&text);
        assert!(err.contains(&format!("{}.{}", k.section, k.key)), "{err}");
        assert!(err.contains(k.allowed), "{err}");
    }
}

#[test]
fn every_default_is_allowed_and_every_field_has_a_key() {
    let text = toml::to_string(&Settings::default()).unwrap();
    let loaded = from_toml(Path::new(FILE), &text).unwrap();
    assert_eq!(loaded.settings, Settings::default());
    for (section, table) in &text.parse::<toml::Table>().unwrap() {
        for key in table.as_table().unwrap().keys() {
            let known = keys().any(|k| (k.section, k.key) == (section, key));
            assert!(known, "{section}.{key}");
        }
    }
}

#[test]
fn page_lists_exactly_the_keys_of_the_code() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let start = page.find("## `[").expect("the page has sections");
    assert_eq!(&page[start..], markdown());
}

#[test]
fn example_file_is_valid_and_has_no_unknown_key() {
    let text = include_str!("../../../examples/sequoiatraild.toml");
    let loaded = from_toml(Path::new(FILE), text).unwrap();
    assert!(loaded.unknown.is_empty(), "{:?}", loaded.unknown);
}

#[test]
fn arbitrary_values_are_accepted_as_checked_or_rejected_by_name() {
    let cfg = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    };
    let names: Vec<_> = keys().collect();
    let values = prop_oneof![
        any::<i64>().prop_map(toml::Value::from),
        any::<bool>().prop_map(toml::Value::from),
        "\\PC{0,40}".prop_map(toml::Value::from),
    ];
    let input = (0..names.len(), values);
    TestRunner::new(cfg)
        .run(&input, |(index, value)| {
            let k = names[index];
            let text = format!("[{}]\n{} = {value}", k.section, k.key);
            match from_toml(Path::new(FILE), &text) {
                Ok(_) => prop_assert!((k.check)(&value)),
                Err(e) => prop_assert!(e.to_string().contains(k.section), "{e}"),
            }
            Ok(())
        })
        .unwrap();
}
