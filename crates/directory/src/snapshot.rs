//! The list as last held, for a start without discovery, where a disk lasts. Pure: bytes in, bytes out; the shell
//! replaces the file in one step. One line of JSON behind a line with format, version and checksum.

use crate::entry::Listing;
use crate::interest::Interest;
use anyhow::{Context, Result, bail};
use dunlincleat::api::{Span, Time};

const FORMAT: &str = "dunlincleat-list";
/// Of a list of all servers.
const VERSION_ALL_SERVERS: &str = "1";
/// Of a list of the servers of some services alone: a program that knows nothing of services must not take it for a
/// list of all.
const VERSION_SOME_SERVICES: &str = "2";

/// A list and when it was surely all that discovery had told.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Unix time in microseconds up to which it was surely complete.
    pub fresh_at: Time,
    /// The whole list.
    pub listing: Listing,
    /// Of which services' servers it is the whole list.
    pub interest: Interest,
}

impl Snapshot {
    /// The file's bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut body = serde_json::json!({"fresh_at_us": self.fresh_at.0, "list": self.listing.to_value()});
        let services: Option<Vec<&str>> = self.interest.services().map(Iterator::collect);
        let version = if services.is_some() { VERSION_SOME_SERVICES } else { VERSION_ALL_SERVERS };
        if let Some(services) = services {
            body["services"] = services.into();
        }
        let body = body.to_string();
        let checksum = crc32fast::hash(body.as_bytes());
        format!("{FORMAT} {version} {checksum:08x}\n{body}\n").into_bytes()
    }

    /// Reads a file's bytes.
    ///
    /// # Errors
    ///
    /// Says what the file is not: this format, this version, whole, a list. It is then to be started without.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot> {
        let text = std::str::from_utf8(bytes).context("it is not UTF-8")?;
        let (header, body) = text.split_once('\n').context("it has no first line")?;
        let mut header = header.split(' ');
        if header.next() != Some(FORMAT) {
            bail!("it is no list of servers (the first word is not {FORMAT})");
        }
        let version = header.next().unwrap_or_default();
        if ![VERSION_ALL_SERVERS, VERSION_SOME_SERVICES].contains(&version) {
            bail!(
                "it is of version '{version}', this program reads versions {VERSION_ALL_SERVERS} and \
                 {VERSION_SOME_SERVICES}"
            );
        }
        let body = body.strip_suffix('\n').context("it was cut off")?;
        let checksum = format!("{:08x}", crc32fast::hash(body.as_bytes()));
        if header.next() != Some(&checksum) {
            bail!("its checksum does not fit: it is damaged");
        }
        let mut body: serde_json::Value = serde_json::from_str(body)?;
        let fresh_at = Time(body["fresh_at_us"].as_u64().context("fresh_at_us is no number")?);
        let interest = match body["services"].take() {
            serde_json::Value::Null => Interest::default(),
            services => Interest::of(serde_json::from_value::<Vec<String>>(services).context("services")?),
        };
        Ok(Snapshot { fresh_at, listing: Listing::from_value(body["list"].take())?, interest })
    }

    /// How old the list is; nothing where its time lies ahead, as after a clock was set back.
    #[must_use]
    pub fn age(&self, now: Time) -> Span {
        now - self.fresh_at
    }
}
