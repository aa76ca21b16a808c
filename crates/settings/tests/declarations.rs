//! Invalid declarations: all problems are reported in one pass, with file, key and remedy.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use topazmount_settings::{Declarations, Overrides, SourceFiles, parse_control, parse_node};

const VALID: &str = r#"
name = "d"
[[zone]]
name = "z"
[[model]]
name = "m"
[[engine]]
name = "e"
zone = "z"
address = "10.0.0.1:8000"
models = ["m"]
[[tenant]]
name = "t"
api_key_hash = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262"
"#;

fn parse(text: &str) -> Result<Declarations, topazmount_settings::Problems> {
    Declarations::parse(&SourceFiles([("deployment.toml".to_owned(), text.to_owned())].into()))
}

#[test]
fn valid_declarations_are_accepted() {
    assert_eq!(parse(VALID).unwrap().name, "d");
}

#[rstest]
#[case::not_toml("name = ", "deployment.toml")]
#[case::unknown_key(&format!("colour = 1\n{VALID}"), "colour")]
#[case::wrong_type(&VALID.replace("\"d\"", "7"), "name")]
#[case::out_of_range(&format!("block_tokens = 3\n{VALID}"), "block_tokens")]
#[case::missing_reference(&VALID.replace("zone = \"z\"", "zone = \"y\""), "zone")]
#[case::duplicate_name(&format!("{VALID}\n[[zone]]\nname = \"z\"\n"), "name")]
#[case::bad_address(&VALID.replace("10.0.0.1:8000", "engine.example:8000"), "address")]
#[case::bad_hash(&VALID.replace("af13", "zzzz"), "api_key_hash")]
#[case::no_tenant(VALID.split("[[tenant]]").next().unwrap(), "tenant")]
#[case::too_many_shares(
    &format!("{VALID}\n[[routing.share]]\npolicy = \"built-in\"\nshare = 0.7\n[[routing.share]]\npolicy = \"built-in\"\nshare = 0.7\n"),
    "share"
)]
#[case::no_such_file(&format!("{VALID}\n[[policy]]\nname = \"p\"\nfile = \"policies/p.rhai\"\n"), "file")]
fn a_problem_names_its_key(#[case] text: &str, #[case] key: &str) {
    let problems = parse(text).unwrap_err().0;
    let found = problems.iter().find(|problem| problem.to_string().contains(key));
    let problem = found.unwrap_or_else(|| panic!("{problems:?}"));
    assert!(!problem.remedy.is_empty());
    assert_eq!(problem.file, "deployment.toml");
}

#[test]
fn all_problems_are_reported_in_one_pass() {
    let text = VALID.replace("\"d\"", "7").replace("zone = \"z\"", "zone = \"y\"");
    assert!(parse(&format!("colour = 1\n{text}")).unwrap_err().0.len() >= 3);
}

#[test]
fn missing_process_settings_are_reported() {
    let problems = parse_node("node.toml", "name = \"n\"\n", &Overrides::default()).unwrap_err();
    for key in ["zone", "callers_address", "declarations", "cluster_key_file", "control"] {
        assert!(problems.0.iter().any(|problem| problem.key.contains(key)), "{key}");
    }
    let problems = parse_control("control.toml", "", &Overrides::default()).unwrap_err();
    assert!(problems.0.iter().any(|problem| problem.key.contains("data_folder")));
}

/// Runs the same cases each time.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn random_text_does_not_panic(text in ".{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn deltas_produce_the_new_files(old in "[a-c\n]{0,40}", new in "[a-c\n]{0,40}") {
        let files = |text: &str| SourceFiles([("f".to_owned(), text.to_owned())].into());
        let mut actual = files(&old);
        actual.apply(&files(&old).deltas_to(&files(&new))).unwrap();
        prop_assert_eq!(actual, files(&new));
    }
}
