//! Routes of one version of the configuration, which are found in a time that hardly depends on their
//! number.

use std::{cmp, collections, ops};

use crate::{ids, route, urgency};

use route::{Kind, Route};

/// Routes, in the order of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    all: Vec<Route>,
    hosts: collections::BTreeMap<route::Host, Prefixes>,
    services: collections::BTreeMap<ids::ServiceName, Service>,
    names: collections::BTreeSet<route::RouteName>,
}

// Positions of the routes of one host, whose name is in lower case, by their prefixes.
type Prefixes = collections::BTreeMap<String, usize>;

// What the routes of one service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
struct Service {
    // Ranks of the routes that need no key of a customer, and of the others.
    public_ranks: collections::BTreeSet<urgency::Rank>,
    ranks: collections::BTreeSet<urgency::Rank>,
    // Whether a route of streams has another service beside it.
    is_split: bool,
}

impl From<Vec<Route>> for Routes {
    fn from(all: Vec<Route>) -> Routes {
        let mut hosts: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        let mut services: collections::BTreeMap<_, Service> = collections::BTreeMap::new();
        for (position, route) in all.iter().enumerate() {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.push((route.prefix.clone(), position));
            for split in &route.splits {
                services.entry(split.service.clone()).or_default().add(route, &split.service);
            }
        }
        let hosts = hosts.into_iter();
        // Of two routes with the same host and prefix the later one is used.
        let hosts = hosts.map(|(host, prefixes)| (host, prefixes.into_iter().collect())).collect();
        let names = all.iter().map(|route| route.name.clone()).collect();
        Routes { all, hosts, services, names }
    }
}

impl FromIterator<Route> for Routes {
    fn from_iter<I: IntoIterator<Item = Route>>(routes: I) -> Routes {
        Routes::from(routes.into_iter().collect::<Vec<_>>())
    }
}

impl ops::Index<usize> for Routes {
    type Output = Route;

    fn index(&self, position: usize) -> &Route {
        &self.all[position]
    }
}

impl Service {
    fn add(&mut self, route: &Route, service: &str) {
        let ranks = if route.is_public { &mut self.public_ranks } else { &mut self.ranks };
        ranks.insert(route.rank);
        let mut others = route.services().filter(|other| *other != service);
        self.is_split |= matches!(route.kind, Kind::Stream { .. })
            && others.next().is_some()
            && route.services().any(|own| own == service);
    }
}

impl Routes {
    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.all.iter()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a route has this name.
    pub fn has_name(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Route of a request: the longest prefix among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = match self.hosts.get(host) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        longest_prefix(prefixes, path).map(|position| &self.all[position])
    }

    /// Pairs of the routes that a request could take before and can take now: those of the same host and
    /// prefix, and for a route that was added or removed the one from which it takes requests or to which
    /// it leaves them.
    pub fn pairs<'a>(&'a self, before: &'a Routes) -> Vec<(&'a Route, &'a Route)> {
        let mut pairs = Vec::with_capacity(self.all.len());
        for (host, new) in &self.hosts {
            let Some(old) = before.hosts.get(host) else { continue };
            for (old_position, new_position) in matched(old, new) {
                let of_old = |position: usize| &before.all[position];
                let of_new = |position: usize| &self.all[position];
                let old_route = old_position.map(of_old);
                let new_route = new_position.map(of_new);
                pairs.extend(match (old_route, new_route) {
                    (Some(old_route), None) => longest_prefix(new, &old_route.prefix)
                        .map(|position| (old_route, of_new(position))),
                    (None, Some(new_route)) => longest_prefix(old, &new_route.prefix)
                        .map(|position| (of_old(position), new_route)),
                    (old_route, new_route) => old_route.zip(new_route),
                });
            }
        }
        pairs
    }

    /// Ranks of the routes of a service whose requests need no key of a customer.
    pub fn public_ranks(&self, service: &str) -> impl Iterator<Item = urgency::Rank> {
        self.services.get(service).into_iter().flat_map(|known| known.public_ranks.iter().copied())
    }

    /// Ranks of its other routes.
    pub fn ranks(&self, service: &str) -> impl Iterator<Item = urgency::Rank> {
        self.services.get(service).into_iter().flat_map(|known| known.ranks.iter().copied())
    }

    /// Whether streams of a service have another service beside it on a route.
    pub fn is_split(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|known| known.is_split)
    }
}

// Position of the longest prefix of `path`. What lies between a prefix of the path and the path itself in
// the order of texts begins with that prefix as well, so that each step leaves only the part of the path that
// the nearest text shares with it.
fn longest_prefix(prefixes: &Prefixes, path: &str) -> Option<usize> {
    let mut rest = path;
    loop {
        let (prefix, position) = prefixes.range::<str, _>(up_to(rest)).next_back()?;
        if rest.starts_with(prefix.as_str()) {
            return Some(*position);
        }
        let shared = rest.bytes().zip(prefix.bytes()).take_while(|(own, other)| own == other);
        let mut length = shared.count();
        while !rest.is_char_boundary(length) {
            length -= 1;
        }
        rest = &rest[..length];
    }
}

fn up_to(path: &str) -> (ops::Bound<&str>, ops::Bound<&str>) {
    (ops::Bound::Unbounded, ops::Bound::Included(path))
}

// Positions of the old and the new route for each prefix that either of them has.
fn matched(old: &Prefixes, new: &Prefixes) -> Vec<(Option<usize>, Option<usize>)> {
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    let mut all = Vec::with_capacity(new.len());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return all,
            (Some(_), None) => cmp::Ordering::Less,
            (None, Some(_)) => cmp::Ordering::Greater,
            (Some((own, _)), Some((other, _))) => own.cmp(other),
        };
        let old = if order.is_le() { old.next() } else { None };
        let new = if order.is_ge() { new.next() } else { None };
        all.push((old.map(|(_, position)| *position), new.map(|(_, position)| *position)));
    }
}
