//! Addresses of the requests that the sidecar makes on its own.

use super::{HEALTH_PATH, LOAD_PATH};
use awc::http::Uri;
use dunlincleat_directory::Interest;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::net::SocketAddr;

/// The address of the whole list, or of that of some services. Discovery may pass over which, and tell of all.
pub fn list_uri(discovery: SocketAddr, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("?{models}"));
    format!("http://{discovery}/v1/servers{}", models.unwrap_or_default())
}

/// The address of a watch for what changed after a version, in the same way.
pub fn watch_uri(discovery: SocketAddr, after: u64, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("&{models}"));
    format!("http://{discovery}/v1/servers?watch=1&after={after}{}", models.unwrap_or_default())
}

/// What a name needs no escape for in a query; a comma parts names.
const QUERY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

fn models_parameter(interest: &Interest) -> Option<String> {
    let names = interest.services()?.map(|name| utf8_percent_encode(name, QUERY_ESCAPES).to_string());
    Some(format!("models={}", names.collect::<Vec<_>>().join(",")))
}

/// The address of a probe.
pub fn probe_uri(server: SocketAddr, with_load: bool) -> String {
    format!("http://{server}{}", if with_load { LOAD_PATH } else { HEALTH_PATH })
}

/// The address and port of a URI that this program made.
pub fn server_address(uri: &Uri) -> Option<SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}
