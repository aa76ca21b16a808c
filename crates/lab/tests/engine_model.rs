//! Known answers of the engine model.

use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_lab::engine::{
    BlockCache, EngineCore, EngineEvent, EngineParameters, EngineRefusal, Job,
};
use topazmount_types::{ModelId, Priority, Time, WeightsVersion};

fn engine(parameters: EngineParameters) -> EngineCore {
    EngineCore::new(parameters, BTreeMap::from([(ModelId(1), WeightsVersion(1))]))
}

fn job(id: u64, blocks: &[u64], prompt_tokens: u32, end_at: u32) -> Job {
    Job {
        id,
        priority: Priority::Normal,
        model: ModelId(1),
        weights: WeightsVersion(1),
        blocks: blocks.into(),
        prompt_tokens,
        resume_at: 0,
        end_at,
    }
}

/// Runs until nothing is left to do; gives events with their times.
fn run(engine: &mut EngineCore) -> Vec<(Time, EngineEvent)> {
    let mut all = Vec::new();
    while let Some(at) = engine.next_wakeup() {
        let mut events = Vec::new();
        engine.advance(at, &mut events);
        all.extend(events.into_iter().map(|event| (at, event)));
    }
    all
}

fn first_token(events: &[(Time, EngineEvent)], id: u64) -> (Time, u32) {
    let found = events.iter().find_map(|(at, event)| match event {
        EngineEvent::Token { job, position: 0, cached_tokens } if *job == id => {
            Some((*at, *cached_tokens))
        }
        _ => None,
    });
    found.unwrap()
}

#[test]
fn prefill_takes_its_iterations() {
    let mut engine = engine(EngineParameters::default());
    engine.submit(Time::ZERO, job(1, &[1, 2], 2_148, 1)).unwrap();
    // 1,024 + 1,024 + 100 tokens: three iterations of 10 ms and 40 µs a token.
    let expected = Duration::from_micros(3 * 10_000 + 2_148 * 40);
    assert_eq!(first_token(&run(&mut engine), 1), (Time::ZERO + expected, 0));
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let mut engine = engine(EngineParameters::default());
    engine.submit(Time::ZERO, job(1, &[1, 2], 2_100, 1)).unwrap();
    run(&mut engine);
    let start = Time::from_secs(5);
    engine.submit(start, job(2, &[1, 2], 2_100, 1)).unwrap();
    let expected = Duration::from_micros(10_000 + 100 * 40);
    assert_eq!(first_token(&run(&mut engine), 2), (start + expected, 2_000));
    assert_eq!(engine.computed_tokens(), (2_200, 0));
}

#[test]
fn two_requests_of_one_batch_share_what_is_computed() {
    let mut engine = engine(EngineParameters::default());
    engine.submit(Time::ZERO, job(1, &[1, 2, 3], 3_050, 1)).unwrap();
    engine.submit(Time::ZERO, job(2, &[1, 2, 3], 3_050, 1)).unwrap();
    run(&mut engine);
    assert!(engine.computed_tokens().0 < 2 * 3_050);
}

#[test]
fn urgent_work_overtakes_and_long_work_still_ends() {
    let parameters = EngineParameters { max_running: 1, ..EngineParameters::default() };
    let mut engine = engine(parameters);
    let batch = Job { priority: Priority::Batch, ..job(1, &[1], 1_500, 30) };
    engine.submit(Time::ZERO, batch).unwrap();
    let urgent = Job { priority: Priority::Interactive, ..job(2, &[9], 1_500, 2) };
    engine.submit(Time::ZERO, urgent).unwrap();
    let events = run(&mut engine);
    let end = |id: u64| {
        let is_end =
            |event: &EngineEvent| matches!(event, EngineEvent::Finished { job, .. } if *job == id);
        events.iter().find(|(_, event)| is_end(event)).unwrap().0
    };
    assert!(end(2) < end(1));
    let positions: Vec<u32> = events
        .iter()
        .filter_map(|(_, event)| match event {
            EngineEvent::Token { job: 1, position, .. } => Some(*position),
            _ => None,
        })
        .collect();
    assert_eq!(positions, (0..30).collect::<Vec<u32>>());
}

#[test]
fn a_resumed_answer_goes_on_where_it_was() {
    let mut engine = engine(EngineParameters::default());
    engine.submit(Time::ZERO, Job { resume_at: 5, ..job(1, &[], 100, 8) }).unwrap();
    let positions: Vec<u32> = run(&mut engine)
        .into_iter()
        .filter_map(|(_, event)| match event {
            EngineEvent::Token { position, .. } => Some(position),
            EngineEvent::Finished { .. } => None,
        })
        .collect();
    assert_eq!(positions, [5, 6, 7]);
}

#[test]
fn a_cancelled_job_frees_its_place() {
    let mut engine = engine(EngineParameters::default());
    engine.submit(Time::ZERO, job(1, &[1], 5_000, 100)).unwrap();
    engine.cancel(1);
    assert_eq!(engine.open_jobs(), 0);
}

#[test]
fn refusals_say_why() {
    let parameters = EngineParameters { max_waiting: 0, ..EngineParameters::default() };
    assert_eq!(engine(parameters).submit(Time::ZERO, job(1, &[], 1, 1)), Err(EngineRefusal::Busy));
    let mut engine = engine(EngineParameters::default());
    let other = Job { weights: WeightsVersion(2), ..job(1, &[], 1, 1) };
    assert_eq!(engine.submit(Time::ZERO, other), Err(EngineRefusal::OtherWeights));
    engine.leave();
    assert_eq!(engine.submit(Time::ZERO, job(1, &[], 1, 1)), Err(EngineRefusal::Leaving));
}

#[test]
fn the_least_recently_used_block_goes_first() {
    let mut cache = BlockCache::new(2);
    for block in [1, 2] {
        assert!(cache.pin(block));
        cache.unpin(block);
    }
    assert!(cache.pin(1));
    assert!(cache.pin(3));
    assert_eq!((cache.prefix_length(&[1]), cache.prefix_length(&[2])), (1, 0));
    assert!(!cache.pin(4), "both blocks are pinned");
}
