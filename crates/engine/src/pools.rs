//! Pools of servers. Each pool has its own decision module, which knows only the servers of its pool. A pool exists for
//! as long as the limits file in force or the rule of a request refers to it.

use crate::server_table::ServerTable;
use dunlincleat::Balancer;
use dunlincleat::api::{Action, Event, ListKind, Member, ServerId, Settings, State, Time};
use dunlincleat_directory::Entry;
use dunlincleat_limits::{PoolHealth, PoolRule, Rule, RuleSet};
use dunlincleat_settings::{InstanceSettings, global_id};
use std::collections::BTreeMap;
use std::sync::{Arc, Weak};

/// Identifies a pool, and its decision module, within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(u32);

impl PoolId {
    /// The pool of all servers.
    pub const ALL: PoolId = PoolId(0);
}

struct Pool {
    /// Rule that selects the servers of the pool; none for the pool of all servers.
    rule: Option<PoolRule>,
    balancer: Balancer,
    /// The same rule in each limits file that had the pool. Routes of the file refer to it, and their requests.
    sources: Vec<Weak<PoolRule>>,
}

impl Pool {
    /// Whether a limits file in force or a request refers to the pool; always, for the pool of all servers.
    fn is_referenced(&self) -> bool {
        self.rule.is_none() || self.sources.iter().any(|source| source.strong_count() > 0)
    }
}

/// A server as last listed.
struct ListedServer {
    member: Member,
    zone: String,
    model: String,
}

impl ListedServer {
    /// Whether a pool with this rule has the server; the pool without a rule has all servers.
    fn selected_by(&self, rule: Option<&PoolRule>) -> bool {
        let Member { cell, weight, .. } = self.member;
        rule.is_none_or(|rule| rule.selects(&self.zone, &self.model, cell, weight))
    }
}

/// A changed entry of the list, and the server as it was listed before.
struct MemberUpdate {
    member: Member,
    previous: Option<ListedServer>,
}

/// Members to report to the decision module of a pool.
pub struct PoolMembers {
    /// The pool.
    pub pool: PoolId,
    /// The members.
    pub members: Vec<Member>,
}

/// All pools of one engine.
pub struct Pools {
    settings: Settings,
    zones: Vec<String>,
    seed: u64,
    /// The pools of the limits file in force.
    in_force: Vec<Arc<PoolRule>>,
    pools: BTreeMap<PoolId, Pool>,
    next_id: u32,
    /// Listed servers by id.
    listed: BTreeMap<u32, ListedServer>,
}

impl Pools {
    /// Creates the pool of all servers.
    #[must_use]
    pub fn new(site: &InstanceSettings, seed: u64) -> Pools {
        let settings = site.settings.clone();
        let balancer = Balancer::new(settings.clone(), seed);
        let pools = BTreeMap::from([(PoolId::ALL, Pool { rule: None, balancer, sources: Vec::new() })]);
        Pools {
            settings,
            zones: site.zones.clone(),
            seed,
            in_force: Vec::new(),
            pools,
            next_id: 1,
            listed: BTreeMap::new(),
        }
    }

    /// Returns the ids of all pools.
    #[must_use]
    pub fn ids(&self) -> Vec<PoolId> {
        self.pools.keys().copied().collect()
    }

    /// Returns the number of listed servers that the decision module over all servers currently avoids.
    #[must_use]
    pub fn avoided(&self, now: Time) -> usize {
        self.pools.get(&PoolId::ALL).map_or(0, |pool| pool.balancer.avoided(now))
    }

    /// Passes an event to the decision module of a pool. Events of a removed pool are dropped.
    pub fn on_event(&mut self, now: Time, pool: PoolId, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.balancer.on_event(now, event, actions);
        }
    }

    /// Returns the pool that serves requests under `rule`.
    #[must_use]
    pub fn pool_for(&self, now: Time, rule: &Rule, servers: &ServerTable) -> PoolId {
        let find = |rule: &PoolRule| self.pools.iter().find(|(_, pool)| pool.rule.as_ref() == Some(rule));
        let health = |rule: &PoolRule| {
            let ready = self.listed.values().filter(|server| server.member.state == State::Ready);
            let members = ready.filter(|server| server.selected_by(Some(rule)));
            members.fold(PoolHealth::default(), |health, server| {
                let is_healthy = servers.get(server.member.server).is_some_and(|record| record.healthy(now));
                PoolHealth { servers: health.servers + 1, healthy: health.healthy + usize::from(is_healthy) }
            })
        };
        rule.choose_pool(health).and_then(find).map_or(PoolId::ALL, |(id, _)| *id)
    }

    /// Applies a list, or changes to it. `ids` holds the server ids of `entries`. Returns the members to report to
    /// the decision module of each pool.
    pub fn update_servers(
        &mut self,
        kind: ListKind,
        entries: &[Entry],
        ids: &[ServerId],
    ) -> Vec<PoolMembers> {
        self.pools.retain(|_, pool| pool.is_referenced());
        if kind != ListKind::Changes {
            self.listed.clear();
        }
        let updates = self.update_listed(entries, ids);
        let pools = self.pools.iter();
        let members_by_pool = pools
            .map(|(id, pool)| PoolMembers {
                pool: *id,
                members: self.members_of(pool.rule.as_ref(), &updates),
            })
            .collect();
        self.listed.retain(|_, server| server.member.state != State::Removed);
        members_by_pool
    }

    /// Stores the listed entries, and returns each with the server as it was listed before.
    fn update_listed(&mut self, entries: &[Entry], ids: &[ServerId]) -> Vec<MemberUpdate> {
        let mut updates = Vec::with_capacity(entries.len());
        for (entry, server) in entries.iter().zip(ids) {
            let zone = self.zones.iter().position(|zone| *zone == entry.zone);
            let member = Member {
                server: *server,
                started_at: Time(entry.boot_ms.saturating_mul(1000)),
                weight: entry.weight,
                zone: zone.unwrap_or(self.zones.len()) as u32,
                cell: entry.cell,
                state: entry.state,
                global_id: global_id(&entry.uid),
            };
            let listed = ListedServer { member, zone: entry.zone.clone(), model: entry.model.clone() };
            let previous = self.listed.insert(server.0, listed);
            updates.push(MemberUpdate { member, previous });
        }
        updates
    }

    /// Returns the members to report to the decision module of the pool with this rule.
    fn members_of(&self, rule: Option<&PoolRule>, updates: &[MemberUpdate]) -> Vec<Member> {
        let members = updates.iter().filter_map(|MemberUpdate { member, previous }| {
            let current = self.listed.get(&member.server.0);
            let selected = current.is_some_and(|server| server.selected_by(rule));
            let was_selected = previous.as_ref().is_some_and(|server| server.selected_by(rule));
            // A server that the pool no longer selects is removed from the pool. An entry of a server that is draining
            // or gone may lack its zone and cell, so it goes to the pool of all servers in any case.
            let state = if selected { member.state } else { State::Removed };
            let leaving = member.state != State::Ready && rule.is_none();
            (selected || was_selected || leaving).then_some(Member { state, ..*member })
        });
        members.collect()
    }

    /// Applies new settings to pools created later; returns the existing pools, which must be notified.
    pub fn set_settings(&mut self, site: &InstanceSettings) -> Vec<PoolId> {
        self.settings = site.settings.clone();
        self.ids()
    }

    /// Applies the pools of a new limits file; returns each new pool with its servers.
    pub fn set_rules(&mut self, rules: &RuleSet) -> Vec<PoolMembers> {
        self.in_force = rules.pools().to_vec();
        let mut new = Vec::new();
        for rule in rules.pools() {
            let source = Arc::downgrade(rule);
            let known = self.pools.values_mut().find(|pool| pool.rule.as_ref() == Some(&**rule));
            if let Some(pool) = known {
                pool.sources.retain(|source| source.strong_count() > 0);
                pool.sources.push(source);
                continue;
            }
            let id = PoolId(self.next_id);
            self.next_id += 1;
            // Each pool draws independently, and identically in each run with the same seed.
            let seed = self.seed ^ u64::from(id.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let balancer = Balancer::new(self.settings.clone(), seed);
            let pool = Pool { rule: Some(PoolRule::clone(rule)), balancer, sources: vec![source] };
            self.pools.insert(id, pool);
            let selected = self.listed.values().filter(|server| server.selected_by(Some(rule)));
            let members = selected.map(|server| server.member).collect();
            new.push(PoolMembers { pool: id, members });
        }
        new
    }
}
