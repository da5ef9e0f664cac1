//! The YAML tree with the position of each key and value. Settings are read from this tree,
//! because deserializing into structs would stop at the first error.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// One node of the YAML tree.
#[derive(Clone, Debug)]
pub enum Node {
    /// An empty value or `null`.
    Empty,
    /// Any scalar, as text.
    Scalar(String),
    /// A sequence.
    List(Vec<Spanned<Node>>),
    /// A mapping in the order of the file.
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E: Error>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_none<E: Error>(self) -> Result<Node, E> {
        Ok(Node::Empty)
    }

    fn visit_some<D: Deserializer<'de>>(self, inner: D) -> Result<Node, D::Error> {
        Node::deserialize(inner)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut pairs = Vec::new();
        while let Some(pair) = access.next_entry()? {
            pairs.push(pair);
        }
        Ok(Node::Map(pairs))
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}
