//! The status codes of answers.

use hyper::StatusCode;

/// Returns whether a status may end a request: one from 200 to 599.
///
/// Codes from 600 on have no meaning, and a client treats them as a failure of
/// the server (RFC 9110, 15). Of those below 200, only 101 ends the exchange
/// of HTTP messages, and only if the client has asked for another protocol
/// (15.2.2), which none of our requests does.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
