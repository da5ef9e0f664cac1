//! Identifies the caller by its bearer key.

use actix_http::header::{self, HeaderMap};
use catalogue::{Owner, View};

use crate::front::headers;
use crate::front::problem::{Kind, Problem};

/// The owner of the caller's bearer key.
///
/// # Errors
///
/// The key is missing or belongs to no owner.
pub fn identify<'v>(catalogue: &'v View, map: &HeaderMap) -> Result<&'v Owner, Problem> {
    let key = headers::text(map, &header::AUTHORIZATION)
        .and_then(bearer)
        .ok_or_else(|| {
            Problem::not_run(
                Kind::Unauthenticated,
                "Authorization: Bearer KEY is required",
            )
        })?;
    catalogue
        .owner_of_key(key)
        .ok_or_else(|| Problem::not_run(Kind::Unauthenticated, "no owner has this key"))
}

/// The key in a bearer `Authorization` header. The scheme is case-insensitive (RFC 9110, section
/// 11.1).
pub fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
