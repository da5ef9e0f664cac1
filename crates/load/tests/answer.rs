//! Checks of answers by their content, and parsing of server-sent events.

use load::answer::{self, AnswerChecker, PieceMatch};
use load::event::{Event, EventReader};
use load::verdict::Ran;

#[test]
fn repeated_text_is_garbled_and_foreign_text_is_crossed() {
    let mut checker = AnswerChecker::new("one two three".to_owned());
    assert_eq!(checker.check_next("one "), PieceMatch::Expected);
    assert_eq!(checker.check_next("one "), PieceMatch::Garbled);
    assert_eq!(checker.check_next("three"), PieceMatch::Garbled);
    assert_eq!(checker.check_next("four"), PieceMatch::Crossed);
    assert!(!checker.is_complete());
    assert_eq!(checker.check_next("two three"), PieceMatch::Expected);
    assert!(checker.is_complete());
}

#[test]
fn events_do_not_depend_on_chunk_sizes() {
    let text = ": hello\r\nid: s:0\ndata: a\ndata: b\n\nid: s:1\r\ndata:c\r\n\r\ndata: [DONE]\n\n";
    let expected = vec![
        Event {
            id: Some("s:0".to_owned()),
            data: "a\nb".to_owned(),
        },
        Event {
            id: Some("s:1".to_owned()),
            data: "c".to_owned(),
        },
        Event {
            id: None,
            data: "[DONE]".to_owned(),
        },
    ];
    for size in 1..text.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            reader.feed(piece);
            events.extend(std::iter::from_fn(|| reader.next_event()));
        }
        assert_eq!(events, expected, "pieces of {size} bytes");
    }
}

#[test]
fn call_may_have_run_unless_the_answer_denies_it() {
    assert_eq!(answer::ran(br#"{"ran": "no"}"#), Ran::No);
    assert_eq!(answer::ran(br#"{"ran": "unknown"}"#), Ran::Unknown);
    assert_eq!(answer::ran(br#"{"status": 503}"#), Ran::Unknown);
    assert_eq!(answer::ran(b"<html>"), Ran::Unknown);
}

#[test]
fn text_is_read_from_all_completion_formats() {
    let forms = [
        r#"{"choices": [{"text": "ab"}]}"#,
        r#"{"choices": [{"delta": {"role": "assistant", "content": "ab"}}]}"#,
        r#"{"choices": [{"message": {"content": "ab"}}]}"#,
    ];
    for form in forms {
        assert_eq!(
            answer::completion_text(form.as_bytes()).as_deref(),
            Some("ab")
        );
    }
    assert_eq!(answer::completion_text(b"no"), None);
}
