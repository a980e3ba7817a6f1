use super::{Message, Outcome, PlaceEvent};
use crate::health::Source;

/// Guards against ends of requests that placers of the previous build cannot
/// decode, which would keep their places until the deadline, and against ends
/// from entries of the previous build that this one cannot decode.
#[test]
fn ends_are_exchanged_with_the_previous_build() {
    let old =
        r#"{"event":{"number":7,"event":{"ended":{"outcome":"failed"}}}}"#;
    let event = PlaceEvent::ended(Outcome::Failed, None, None);
    let message = Message::Event { number: 7, event };
    assert_eq!(serde_json::to_string(&message).unwrap(), old);
    assert_eq!(serde_json::from_str::<Message>(old).unwrap(), message);
    let old = r#"{"event":{"number":7,"event":{"began":{"took_ms":9}}}}"#;
    let event = PlaceEvent::Began { took_ms: 9, errored: false };
    let message = Message::Event { number: 7, event };
    assert_eq!(serde_json::to_string(&message).unwrap(), old);
    assert_eq!(serde_json::from_str::<Message>(old).unwrap(), message);
    let source = Source::new("a.example", "/x/", None);
    let event = PlaceEvent::ended(Outcome::Errored, Some(source), Some(85));
    let json = serde_json::to_value(event).unwrap();
    // The previous build knows no other outcome that changes nothing, and
    // ignores the other fields.
    assert_eq!(json["ended"]["outcome"], "unknown");
    assert_eq!(json["ended"]["errored"], true);
    assert_eq!(json["ended"]["took_ms"], 85);
    let decoded: PlaceEvent = serde_json::from_value(json).unwrap();
    assert_eq!(decoded, event);
}
