//! Pools of servers: one decision module each, which knows its pool's servers alone. Owns the modules and the list as
//! last told; a pool that a new file lacks is kept for as long as a request may still be under it.

use crate::places::Places;
use dunlincleat::Balancer;
use dunlincleat::api::{Action, Event, ListKind, Member, ServerId, Settings, Span, State, Time};
use dunlincleat_directory::Entry;
use dunlincleat_limits::routes::PoolRule;
use dunlincleat_limits::{Rule, RuleSet};
use dunlincleat_settings::{Site, common_name};
use std::collections::BTreeMap;

/// How long a front may take from finding a request's rule to handing it in.
const HANDED_IN: Span = Span(10_000_000);

/// A decision module among those of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId(u32);

impl SlotId {
    /// That of all servers.
    pub const ALL: SlotId = SlotId(0);
}

struct Slot {
    /// What it selects; all servers where there is none.
    rule: Option<PoolRule>,
    balancer: Balancer,
    /// Since when no file names it.
    gone: Option<Time>,
}

/// A server as it was last told.
struct Known {
    member: Member,
    zone: String,
    model: String,
}

/// The pools of one engine.
pub struct Pools {
    settings: Settings,
    zones: Vec<String>,
    seed: u64,
    longest: Span,
    slots: BTreeMap<SlotId, Slot>,
    next: u32,
    listed: BTreeMap<u32, Known>,
}

fn selects(rule: Option<&PoolRule>, known: &Known) -> bool {
    let Member { cell, weight, .. } = known.member;
    rule.is_none_or(|rule| rule.selects(&known.zone, &known.model, cell, weight))
}

impl Pools {
    /// The pool of all servers.
    #[must_use]
    pub fn new(site: &Site, seed: u64, longest: Span) -> Pools {
        let settings = site.settings.clone();
        let balancer = Balancer::new(settings.clone(), seed);
        let slots = BTreeMap::from([(SlotId::ALL, Slot { rule: None, balancer, gone: None })]);
        Pools { settings, zones: site.zones.clone(), seed, longest, slots, next: 1, listed: BTreeMap::new() }
    }

    /// All pools.
    #[must_use]
    pub fn slots(&self) -> Vec<SlotId> {
        self.slots.keys().copied().collect()
    }

    /// Listed servers that the module over all servers sends nothing to now.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.slots.get(&SlotId::ALL).map_or(0, |slot| slot.balancer.avoided(now))
    }

    /// Hands an event to a pool's decision module. One of a pool that is no more has nobody to hear it.
    pub fn on_event(&mut self, now: Time, slot: SlotId, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.balancer.on_event(now, event, actions);
        }
    }

    /// The pool that a request is decided in.
    #[must_use]
    pub fn of(&self, now: Time, rule: &Rule, places: &Places) -> SlotId {
        let named = |name: &str| {
            let named = |slot: &&Slot| slot.rule.as_ref().is_some_and(|rule| rule.name == name);
            // Of two with one name the later is the newer file's.
            self.slots.iter().rev().find(|(_, slot)| named(slot))
        };
        let health = |name: &str| {
            let Some((_, slot)) = named(name) else { return (0, 0) };
            let ready = self.listed.values().filter(|known| known.member.state == State::Ready);
            let mine = ready.filter(|known| selects(slot.rule.as_ref(), known));
            mine.fold((0, 0), |(all, well), known| {
                let healthy = places.get(known.member.server).is_some_and(|place| place.healthy(now));
                (all + 1, well + usize::from(healthy))
            })
        };
        rule.pool(health).and_then(named).map_or(SlotId::ALL, |(id, _)| *id)
    }

    /// Takes in a list or changes, whose servers have these numbers; gives what each pool is to be told.
    pub fn listed(
        &mut self,
        now: Time,
        kind: ListKind,
        entries: &[Entry],
        numbers: &[ServerId],
    ) -> Vec<(SlotId, Vec<Member>)> {
        let over = Span(self.longest.0.saturating_add(HANDED_IN.0));
        self.slots.retain(|_, slot| slot.gone.is_none_or(|gone| now - gone <= over));
        let whole = kind != ListKind::Changes;
        let mut told = Vec::with_capacity(entries.len());
        if whole {
            self.listed.clear();
        }
        for (entry, server) in entries.iter().zip(numbers) {
            let zone = self.zones.iter().position(|z| *z == entry.zone);
            let member = Member {
                server: *server,
                started_at: Time(entry.boot_ms.saturating_mul(1000)),
                weight: entry.weight,
                zone: zone.unwrap_or(self.zones.len()) as u32,
                cell: entry.cell,
                state: entry.state,
                global_id: common_name(&entry.uid),
            };
            let known = Known { member, zone: entry.zone.clone(), model: entry.model.clone() };
            told.push((member, self.listed.insert(server.0, known)));
        }
        let of = |rule: Option<&PoolRule>| -> Vec<Member> {
            let mine = told.iter().filter_map(|(member, before)| {
                let now = self.listed.get(&member.server.0).is_some_and(|known| selects(rule, known));
                let was = before.as_ref().is_some_and(|known| selects(rule, known));
                // One that the pool no longer selects is gone from it; a leaving one may be told without its place.
                let state = if now { member.state } else { State::Removed };
                (now || was || member.state != State::Ready && rule.is_none())
                    .then_some(Member { state, ..*member })
            });
            mine.collect()
        };
        let each = self.slots.iter().map(|(id, slot)| (*id, of(slot.rule.as_ref()))).collect();
        self.listed.retain(|_, known| known.member.state != State::Removed);
        each
    }

    /// Takes up other settings for pools to come; gives those that are to be told.
    pub fn settle(&mut self, site: &Site, longest: Span) -> Vec<SlotId> {
        (self.settings, self.longest) = (site.settings.clone(), longest);
        self.slots()
    }

    /// Takes up the pools of a new file; gives the servers of each that is new.
    pub fn adopt(&mut self, now: Time, rules: &RuleSet) -> Vec<(SlotId, Vec<Member>)> {
        for slot in self.slots.values_mut().filter(|slot| slot.rule.is_some()) {
            let stays = rules.pools().iter().any(|pool| slot.rule.as_ref() == Some(pool));
            slot.gone = if stays { None } else { slot.gone.or(Some(now)) };
        }
        let mut new = Vec::new();
        for pool in rules.pools() {
            if self.slots.values().any(|slot| slot.rule.as_ref() == Some(pool)) {
                continue;
            }
            let id = SlotId(self.next);
            self.next += 1;
            // Draws of its own, and the same on each play of the same seed.
            let seed = self.seed ^ u64::from(id.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let balancer = Balancer::new(self.settings.clone(), seed);
            self.slots.insert(id, Slot { rule: Some(pool.clone()), balancer, gone: None });
            let mine = self.listed.values().filter(|known| selects(Some(pool), known));
            new.push((id, mine.map(|known| known.member).collect()));
        }
        new
    }
}
