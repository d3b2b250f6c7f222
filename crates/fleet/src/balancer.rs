//! The common interface of the balancers under test: they receive events and return outputs.

use dunlincleat::api::Time;
use dunlincleat_engine::{Engine, Input, Output};

/// An event. The payload of a request is its number, and the response returns it.
pub type EngineInput = Input<u64, u64>;
/// An output.
pub type EngineOutput = Output<u64, u64>;

/// The balancer of one instance.
pub trait Balancer {
    /// Processes an event.
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>);
    /// Does the work that is due.
    fn wake(&mut self, now: Time, out: &mut Vec<EngineOutput>);
    /// When `wake` is due next, if ever.
    fn due(&self) -> Option<Time>;
}

impl Balancer for Engine<u64, u64> {
    fn input(&mut self, now: Time, input: EngineInput, out: &mut Vec<EngineOutput>) {
        Engine::input(self, now, input, out);
    }

    fn wake(&mut self, now: Time, out: &mut Vec<EngineOutput>) {
        Engine::wake(self, now, out);
    }

    fn due(&self) -> Option<Time> {
        Engine::due(self)
    }
}
