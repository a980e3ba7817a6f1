//! Matching of a request to its route and workspace.

use std::sync::Arc;

use hyper::header::HOST;
use hyper::http::request::Parts;
use stairhinge::direct::{Route, RouteTable, Workspace};
use stairhinge::{Code, Error};
use stairhinge_shell::http::Failed;

use crate::dialect::CallerRequest;

/// Finds the route for a request's host and path.
///
/// # Errors
///
/// [`Code::UnknownRoute`] if no route matches.
pub(crate) fn find_route(
    routes: &RouteTable,
    head: &Parts,
) -> Result<Arc<Route>, Failed> {
    let host = head
        .headers
        .get(HOST)
        .and_then(|v| v.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or("");
    let name = host.split(':').next().unwrap_or("").to_ascii_lowercase();
    let path = head.uri.path();
    match routes.route(&name, path) {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(Failed::new(Error::new(
            Code::UnknownRoute,
            format_args!(
                "host {name:?}, path {path:?}, revision {}",
                routes.revision()
            ),
        ))),
    }
}

/// Finds the workspace that a request's key belongs to. Returns `None` if the
/// route or the whole fleet requires no keys.
///
/// # Errors
///
/// [`Code::MissingKey`] or [`Code::UnknownKey`] if a key is required but is
/// absent or unknown.
pub(crate) fn find_workspace(
    routes: &RouteTable,
    route: &Route,
    caller: &CallerRequest,
) -> Result<Option<Arc<Workspace>>, Failed> {
    if !routes.requires_keys() || route.public {
        return Ok(None);
    }
    let Some(key) = &caller.key else {
        let error = Error::new(Code::MissingKey, "the route is not public");
        return Err(Failed::new(error));
    };
    let Some(workspace) = routes.workspace(key) else {
        let why = format!("revision {}", routes.revision());
        return Err(Failed::new(Error::new(Code::UnknownKey, why)));
    };
    Ok(Some(Arc::clone(workspace)))
}
