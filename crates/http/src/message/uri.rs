//! URIs of the calls to discovery and of the probes.

use super::{HEALTH_PATH, LOAD_PATH};
use awc::http::Uri;
use dunlincleat_directory::Interest;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::net::SocketAddr;

/// The URI of the full list, limited to the services of interest. Discovery may ignore the limit and return all.
pub fn list_uri(discovery: SocketAddr, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("?{models}"));
    format!("http://{discovery}/v1/servers{}", models.unwrap_or_default())
}

/// The URI of a watch for the changes after a revision, limited in the same way.
pub fn watch_uri(discovery: SocketAddr, after: u64, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("&{models}"));
    format!("http://{discovery}/v1/servers?watch=1&after={after}{}", models.unwrap_or_default())
}

/// Characters to escape in names of services; a comma separates names.
const QUERY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

fn models_parameter(interest: &Interest) -> Option<String> {
    let names = interest.services()?.map(|name| utf8_percent_encode(name, QUERY_ESCAPES).to_string());
    Some(format!("models={}", names.collect::<Vec<_>>().join(",")))
}

/// The URI of a probe.
pub fn probe_uri(server: SocketAddr, with_load: bool) -> String {
    format!("http://{server}{}", if with_load { LOAD_PATH } else { HEALTH_PATH })
}

/// The address and port of a URI that this program built.
pub fn server_address(uri: &Uri) -> Option<SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}
