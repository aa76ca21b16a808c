//! Configuration revisions: compare-and-set, resends and deltas.

use topazmount_control::{Configuration, ConfigurationUpdate};
use topazmount_settings::SourceFiles;
use topazmount_types::{Digest, Revision, Time};

fn texts(text: &str) -> SourceFiles {
    SourceFiles([("deployment.toml".to_owned(), text.to_owned())].into())
}

fn apply(
    configuration: &mut Configuration,
    expected: u64,
    request: &str,
    text: &str,
) -> Result<Revision, Revision> {
    let expected = Revision(expected);
    let deltas = configuration.deltas_for(expected, &texts(text));
    configuration.apply(Time::ZERO, expected, Digest::of(request.as_bytes()), deltas)
}

#[test]
fn one_of_two_changes_of_the_same_revision_is_accepted() {
    let mut configuration = Configuration::founding(texts("a = 1\n"));
    assert_eq!(apply(&mut configuration, 1, "left", "a = 2\n"), Ok(Revision(2)));
    assert_eq!(apply(&mut configuration, 1, "right", "a = 3\n"), Err(Revision(2)));
    assert_eq!(*configuration.source(), texts("a = 2\n"));
}

#[test]
fn a_resend_gets_the_first_result() {
    let mut configuration = Configuration::founding(texts("a = 1\n"));
    assert_eq!(apply(&mut configuration, 1, "change", "a = 2\n"), Ok(Revision(2)));
    assert_eq!(apply(&mut configuration, 2, "next", "a = 3\n"), Ok(Revision(3)));
    assert_eq!(apply(&mut configuration, 1, "change", "a = 2\n"), Ok(Revision(2)));
    assert_eq!(*configuration.source(), texts("a = 3\n"));
}

#[test]
fn deltas_update_any_kept_revision_to_the_newest() {
    let mut configuration = Configuration::founding(texts("a = 0\nb = 0\n"));
    let mut past = vec![configuration.source().clone()];
    for number in 1..=40 {
        let text = format!("a = {number}\nb = {}\n", "x".repeat(number % 7));
        apply(&mut configuration, number as u64, &number.to_string(), &text).unwrap();
        past.push(configuration.source().clone());
    }
    for (number, mut have) in past.into_iter().enumerate() {
        match configuration.update_since(Revision(number as u64 + 1)) {
            ConfigurationUpdate::Current => assert_eq!(number, 40),
            ConfigurationUpdate::Deltas { to, deltas, digest } => {
                have.apply(&deltas).unwrap();
                assert_eq!((to, have.digest()), (Revision(41), digest));
                assert_eq!(have, *configuration.source());
            }
            ConfigurationUpdate::Full { .. } => panic!("revision {number} is kept"),
        }
    }
}
