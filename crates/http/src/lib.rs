//! HTTP/1.1 around the engine. [`front`] takes requests from applications (actix-http), [`peer`] is the transport to a
//! server (awc) with an actor each, [`list`] calls discovery; `message` decodes and encodes all of it once.
//!
//! Arrows go one way: front, peer and list stand on the engine's handle; none of them knows another.

#![forbid(unsafe_code)]

mod frame;
pub mod front;
mod idle;
mod line;
pub mod list;
pub mod message;
pub mod options;
pub mod peer;
mod write_progress;

use std::rc::Rc;

/// The engine's handle as HTTP uses it.
pub type Handle = dunlincleat_engine::shell::Handle<Rc<message::Request>, message::ResponseBody>;
/// The engine's mailbox as HTTP uses it.
pub type Mailbox = dunlincleat_engine::shell::Mailbox<Rc<message::Request>, message::ResponseBody>;
/// The engine as HTTP uses it.
pub type Engine = dunlincleat_engine::Engine<Rc<message::Request>, message::ResponseBody>;
type Answer = dunlincleat_engine::Answer<message::ResponseBody>;
type Completion = dunlincleat_engine::Completion<message::ResponseBody>;
