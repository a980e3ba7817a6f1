use super::{Event, Filter, merge, render_svg};
use crate::Clock;

fn line(clock: u64, instance: &str, seq: u64, request: &str) -> String {
    format!(
        "{{\"clock\":{clock},\"wall\":1,\"instance\":\"{instance}\",\"hall\":\
         \"h\",\"incarnation\":1,\"seq\":{seq},\"event\":\"request.sent\",\
         \"attempt\":\"{request}\"}}"
    )
}

#[test]
fn events_of_many_processes_are_in_causal_order() {
    // The wall clock of b is far behind; its hybrid logical clock advances
    // past that of a with the message it receives.
    let mut a = Clock::new();
    let mut b = Clock::new();
    let sent = a.tick(5_000);
    b.observe(sent);
    let received = b.tick(1_000);
    let lines = [line(received, "b", 0, "x"), line(sent, "a", 0, "x")];
    let events: Vec<_> =
        lines.iter().map(|l| Event::parse(l).unwrap()).collect();
    let merged = merge(events, &Filter::default());
    let order: Vec<_> = merged.iter().map(|e| &*e.instance).collect();
    assert_eq!(order, ["a", "b"]);
}

#[test]
fn filter_selects_by_request_and_instance() {
    let lines =
        [line(1, "a", 0, "x1"), line(2, "b", 0, "x2"), line(3, "a", 1, "y")];
    let table = [
        (Some("x"), None, 2),
        (None, Some("a"), 2),
        (Some("x"), Some("a"), 1),
        (None, None, 3),
    ];
    for (request, instance, count) in table {
        let filter = Filter {
            request: request.map(Into::into),
            version: None,
            instance: instance.map(Into::into),
        };
        let events = lines.iter().map(|l| Event::parse(l).unwrap());
        let merged = merge(events.collect(), &filter);
        assert_eq!(merged.len(), count, "{request:?} {instance:?}");
    }
}

#[test]
fn svg_image_escapes_texts() {
    let event = Event::parse(&line(9, "a<b", 0, "<&>")).unwrap();
    let image = render_svg(&[event]);
    assert!(image.contains("a&lt;b") && image.contains("&lt;&amp;>"));
    assert!(!image.contains("<&"));
}
