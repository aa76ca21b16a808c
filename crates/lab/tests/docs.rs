//! Documents agree with the code.

use std::path::{Path, PathBuf};
use topazmount_lab::scale::{Fit, Measured, rows};
use topazmount_lab::sim::Scenario;
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::ErrorKind;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap()
}

/// Cells of the rows of all tables of a page.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let cells =
        |line: &str| line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
    rows.map(cells).collect()
}

#[test]
fn errors_are_those_of_the_table() {
    let rows = table_rows(&read("docs/ERRORS.md"));
    let documented: Vec<&Vec<String>> = rows.iter().skip(1).collect();
    assert_eq!(documented.len(), ErrorKind::ALL.len());
    for (row, kind) in documented.iter().zip(ErrorKind::ALL) {
        let retry = kind.retry_after().map_or("-".to_owned(), |time| time.as_secs().to_string());
        let expected = [
            kind.name().to_owned(),
            kind.status().to_string(),
            kind.run().as_str().to_owned(),
            retry,
            kind.exit_status().to_string(),
            kind.meaning().to_owned(),
        ];
        assert_eq!(row.as_slice(), expected);
    }
}

#[test]
fn the_example_configuration_is_right() {
    let page = read("docs/CONFIGURATION.md");
    let example = page.split("```toml\n").nth(1).unwrap().split("```").next().unwrap();
    let source = SourceFiles([("deployment.toml".to_owned(), example.to_owned())].into());
    assert_eq!(Declarations::parse(&source).unwrap().name, "example");
}

#[test]
fn every_key_is_documented() {
    let page = read("docs/CONFIGURATION.md");
    for file in ["declarations/read.rs", "process.rs"] {
        let code = read(&format!("crates/settings/src/{file}"));
        for call in [
            "integer(",
            "fraction(",
            "string(",
            "strings(",
            "sections(",
            "millis(&section, ",
            "micros(&section, ",
        ] {
            let quoted = code.split(call).skip(1).filter_map(|rest| {
                rest.trim_start().strip_prefix('"')?.split('"').next().map(str::to_owned)
            });
            for key in quoted {
                assert!(page.contains(&key), "{key} of {file} is not in docs/CONFIGURATION.md");
            }
        }
    }
}

#[test]
fn the_capacity_page_has_the_rows_of_the_run() {
    let line = Fit { base: 1.0, slope: 1.0, slope_error: 0.0 };
    let page = table_rows(&read("docs/CAPACITY.md"));
    for row in rows(&Measured::uniform(line, 1.0)) {
        let found = page.iter().find(|cells| cells[0] == row.role && cells[1] == row.figure);
        let cells = found.unwrap_or_else(|| panic!("{} / {} is missing", row.role, row.figure));
        assert!(cells[2].parse::<f64>().is_ok(), "{cells:?}");
        assert_eq!(cells[3], row.unit);
        assert_eq!(cells[6], row.mechanism);
    }
}

/// Names in backquotes in the table of invariants: tests and scenarios.
#[test]
fn proofs_name_what_exists() {
    let page = read("docs/PROOFS.md");
    let simulation = read("crates/lab/tests/simulation.rs");
    for row in table_rows(&page).iter().filter(|row| row.len() == 4 && row[2].contains("::")) {
        for name in row[2].split('`').filter(|name| name.contains("::case_")) {
            let (test, case) = name.split_once("::case_").unwrap();
            let number: usize = case.parse().unwrap();
            let before = simulation.split(&format!("fn {test}(")).next().unwrap();
            let cases = before.rsplit("#[rstest]").next().unwrap().matches("#[case(").count();
            assert!(simulation.contains(test) && number <= cases, "{name} does not exist");
        }
        for name in row[3].split('`').skip(1).step_by(2) {
            assert!(Scenario::parse(name).is_some(), "there is no scenario {name}");
        }
    }
}
