//! Policy programs that loop, recurse, allocate, throw or return invalid values.

use rstest::rstest;
use topazmount_routing::{
    BUILT_IN, Candidate, PolicyProgram, PolicyTable, ProgramLimits, RouteRequest, ShareSettings,
};
use topazmount_types::{ModelId, Priority, ReplicaId, TenantId, WeightsVersion};

fn request(sequence: u64) -> RouteRequest<'static> {
    RouteRequest {
        tenant: TenantId(1),
        model: ModelId(1),
        weights: WeightsVersion(1),
        priority: Priority::Normal,
        prompt_tokens: 5_000,
        max_tokens: 10,
        blocks: &[1, 2, 3],
        session: sequence,
        sequence,
    }
}

fn candidates() -> Vec<Candidate> {
    let candidate = |position: u32| Candidate {
        replica: ReplicaId(u64::from(position) + 1),
        position,
        queue_ms: f64::from(10 - position),
        ..Candidate::default()
    };
    (0..3).map(candidate).collect()
}

#[rstest]
#[case::syntax("fn score(request, candidate) {")]
#[case::no_hook("fn other() { 1 }")]
#[case::wrong_parameters("fn score(request) { 1 }")]
#[case::unknown_variable("fn score(request, candidate) { nothing }")]
#[case::unknown_field("fn score(request, candidate) { candidate.nothing }")]
#[case::endless_loop("fn score(request, candidate) { loop {} }")]
#[case::endless_recursion("fn score(request, candidate) { score(request, candidate) }")]
#[case::endless_list("fn score(request, candidate) { let a = []; loop { a.push(1) } }")]
#[case::endless_text("fn score(request, candidate) { let a = \"x\"; loop { a += a } }")]
#[case::not_a_number("fn score(request, candidate) { 0.0 / 0.0 }")]
#[case::wrong_type("fn score(request, candidate) { \"first\" }")]
#[case::throws("fn score(request, candidate) { throw \"no\" }")]
#[case::evaluates("fn score(request, candidate) { eval(\"1\") }")]
#[case::reads_files("fn score(request, candidate) { open_file(\"/etc/passwd\") }")]
#[case::wrong_admit("fn admit(request) { 3 }")]
fn a_faulty_program_does_not_compile(#[case] text: &str) {
    let error = PolicyProgram::compile(text, ProgramLimits::default()).err();
    assert!(!error.expect("compilation must fail").message.is_empty());
}

#[test]
fn errors_have_line_and_column() {
    let text = "fn score(request, candidate) {\n    candidate.nothing\n}";
    let error = PolicyProgram::compile(text, ProgramLimits::default()).err().unwrap();
    assert_eq!((error.line, error.column > 0), (2, true), "{error}");
}

/// The program passes the samples and fails on later requests.
#[rstest]
#[case::throws("if request.sequence > 1 { throw \"no\" }")]
#[case::loops("if request.sequence > 1 { loop {} }")]
#[case::not_a_number("if request.sequence > 1 { return 0.0 / 0.0 }")]
#[case::wrong_type("if request.sequence > 1 { return \"x\" }")]
fn a_runtime_failure_is_counted_and_the_built_in_policy_decides(#[case] fault: &str) {
    let text = format!("fn score(request, candidate) {{ {fault} candidate.position }}");
    let program = PolicyProgram::compile(&text, ProgramLimits::default()).unwrap();
    let mut table = PolicyTable::default();
    let shares = [ShareSettings { policy: "mine".to_owned(), share: 1.0 }];
    table.replace(vec![("mine".to_owned(), program)], &shares, &[]);
    let policy = table.assign(&request(9));
    assert_eq!(table.name(policy), "mine");
    // The built-in policy takes the shortest queue, which is the last candidate's.
    assert_eq!(table.choose(policy, &request(9), &candidates()), Some(2));
    assert_eq!(table.counters("mine").unwrap().failures.values().sum::<u64>(), 1);
    assert_eq!(table.choose(policy, &request(1), &candidates()), Some(0));
}

#[test]
fn shares_are_stable_per_session_and_near_their_size() {
    let program = PolicyProgram::compile(
        "fn score(request, candidate) { candidate.position }",
        ProgramLimits::default(),
    )
    .unwrap();
    let mut table = PolicyTable::default();
    let shares = [ShareSettings { policy: "mine".to_owned(), share: 0.3 }];
    table.replace(vec![("mine".to_owned(), program)], &shares, &[]);
    let chosen: Vec<usize> = (1..=2_000).map(|session| table.assign(&request(session))).collect();
    let again: Vec<usize> = (1..=2_000).map(|session| table.assign(&request(session))).collect();
    assert_eq!(chosen, again);
    let mine = chosen.iter().filter(|policy| table.name(**policy) == "mine").count();
    assert!((540..=660).contains(&mine), "{mine} of 2000");
    // Without the program, the built-in policy decides all requests.
    table.replace(Vec::new(), &[], &[]);
    assert_eq!(table.name(table.assign(&request(5))), BUILT_IN);
}
