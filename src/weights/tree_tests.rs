//! How chunks spread in a large hall.

use std::collections::HashMap;
use std::sync::Arc;

use super::tests::{halls, none, walk};
use super::{Source, SourceRanking};

/// Returns how long a chunk takes to the last agent, in sends, where each
/// agent sends to one other at a time.
fn sends_to_the_last(all: &[(Arc<str>, Vec<Arc<str>>)], tree: bool) -> usize {
    let (hall, names) = &all[0];
    let mut children: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
    let mut seed = None;
    for name in names {
        let walk = SourceRanking::new(b"v", all, hall, name, 1);
        let walk = if tree { walk.with_fanout(2) } else { walk };
        match walk.first(0, none, none) {
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
    assert!(children.is_empty(), "everybody is reached");
    last
}

#[test]
fn a_tree_reaches_the_last_of_a_large_hall_sooner() {
    let all = halls(1, 26);
    assert_eq!(sends_to_the_last(&all, false), 25);
    assert!(sends_to_the_last(&all, true) <= 8);
}

#[test]
fn in_a_tree_uploads_are_even_and_a_dead_agent_is_passed_over() {
    let all = halls(3, 8);
    let mut sent: HashMap<Source, usize> = HashMap::new();
    let count = 3 * 8 * 4;
    for (h, (_, names)) in all.iter().enumerate() {
        for i in 0..names.len() {
            let walk = walk(&all, h, i).with_fanout(2);
            for c in 0..count {
                let source = match walk.first(c, none, none) {
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
    // With an agent gone, the origin is asked for each chunk once as before.
    let dead = Source::Near("a0-3".into());
    let mut draws = 0;
    for (h, (_, names)) in all.iter().enumerate() {
        for (i, name) in names.iter().enumerate() {
            if Source::Near(Arc::clone(name)) == dead {
                continue;
            }
            let gone = |s: &Source| s.name() == "a0-3";
            let walk = walk(&all, h, i).with_fanout(2);
            for c in 0..count {
                let source = walk.first(c, gone, none);
                assert!(!gone(&source));
                draws += usize::from(source == Source::Origin);
            }
        }
    }
    assert_eq!(draws, count);
}
