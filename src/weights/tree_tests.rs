//! Tests of the distribution tree within a large hall.

use std::collections::HashMap;
use std::sync::Arc;

use super::tests::{halls, none, rank_sources};
use super::{Source, SourceRanking};

/// Returns after how many send steps a chunk reaches the last agent if each
/// agent sends to one other at a time.
fn steps_to_last_agent(
    all: &[(Arc<str>, Vec<Arc<str>>)],
    tree: bool,
) -> usize {
    let (hall, names) = &all[0];
    let mut children: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
    let mut seed = None;
    for name in names {
        let ranking = SourceRanking::new(b"v", all, hall, name, 1);
        let ranking = if tree { ranking.with_fanout(2) } else { ranking };
        match ranking.choose_source(0, none, none) {
            Source::Near(from) => {
                children.entry(from).or_default().push(Arc::clone(name));
            }
            _ => seed = Some(Arc::clone(name)),
        }
    }
    let mut last = 0;
    let mut here = vec![(seed.unwrap(), 0)];
    while let Some((name, at)) = here.pop() {
        last = last.max(at);
        let next = children.remove(&name).unwrap_or_default();
        for (i, child) in next.into_iter().enumerate() {
            here.push((child, at + i + 1));
        }
    }
    assert!(children.is_empty(), "every agent is reached");
    last
}

#[test]
fn a_tree_reaches_the_last_agent_of_a_large_hall_sooner() {
    let all = halls(1, 26);
    assert_eq!(steps_to_last_agent(&all, false), 25);
    assert!(steps_to_last_agent(&all, true) <= 8);
}

#[test]
fn a_tree_has_even_uploads_and_skips_a_failed_agent() {
    let all = halls(3, 8);
    let mut sent: HashMap<Source, usize> = HashMap::new();
    let count = 3 * 8 * 4;
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let ranking = rank_sources(&all, h, i).with_fanout(2);
            for c in 0..count {
                let source = match ranking.choose_source(c, none, none) {
                    Source::Far(n) => Source::Near(n),
                    other => other,
                };
                *sent.entry(source).or_default() += 1;
            }
        }
    }
    assert_eq!(sent[&Source::Origin], count, "one copy");
    for (source, chunks) in &sent {
        assert!(*chunks <= count, "{source:?} sends {chunks}");
    }
    // With an agent gone, the origin is still asked once for each chunk.
    let dead = Source::Near("a0-3".into());
    let mut origin_requests = 0;
    for (h, (_, names)) in all.iter().enumerate() {
        for (i, name) in names.iter().enumerate() {
            if Source::Near(Arc::clone(name)) == dead {
                continue;
            }
            let gone = |s: &Source| s.name() == "a0-3";
            let ranking = rank_sources(&all, h, i).with_fanout(2);
            for c in 0..count {
                let source = ranking.choose_source(c, gone, none);
                assert!(!gone(&source));
                origin_requests += usize::from(source == Source::Origin);
            }
        }
    }
    assert_eq!(origin_requests, count);
}
