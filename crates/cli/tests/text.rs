//! Rendering of JSON as text.

use cli::text::render;
use serde_json::json;

#[test]
fn nested_objects_are_indented_and_lists_of_objects_form_tables() {
    let value = json!({
        "folded": 17,
        "lease": {"holder": null, "words": ["a", "b"]},
        "none": [],
        "peers": [
            {"id": "entry-1", "silent": false},
            {"id": "entry-20", "silent": true},
        ],
    });
    let expected = "\
folded: 17
lease:
  holder: -
  words:
    - a
    - b
none: none
peers:
  id        silent
  entry-1   false
  entry-20  true
";
    assert_eq!(render(&value), expected);
}
