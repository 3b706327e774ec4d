//! Follows the operator's config and the servers' rows in the platform's store.

use std::{fmt, net, sync, sync::atomic, time};

use rhubarb_core::{backoff, fleet, freshness, ids, stalls, suspension};
use rhubarb_node::clock;
use rhubarb_platform::{config, registration, store};
use rhubarb_wire::share;

use crate::{boot, directory, edge, eras, metrics, misdirected, origins};

/// Time that the store holds a feed request open without changes. A feed that stalls is detected
/// earlier, by the newer versions of the peers, or as nobody tells that the table is current.
const FEED_WAIT: time::Duration = time::Duration::from_secs(20);
/// Time after which a feed's response is late.
const FEED_SLACK: time::Duration = time::Duration::from_millis(1_000);
/// Pause after changes were read, so that one call returns the changes of that time together. A
/// config is due within 2 s, and a server that leaves stops after 2 s.
const FEED_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Time within which the response to a read begins, and without any of its bytes.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Base of the delay after failed calls, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
/// Longest delay after consecutive failed calls, before jitter.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);
/// Interval between checks whether this entry has to follow the store.
const SOURCE_CHECK: time::Duration = time::Duration::from_millis(250);
/// Longest delay before an entry follows the store in place of others: a cell has up to forty
/// entries, of which the first begins after a fraction of it.
const MAX_TAKEOVER_DELAY: time::Duration = time::Duration::from_millis(2_000);
/// Shortest delay of a timer that is logged.
const LOGGED_DELAY: time::Duration = time::Duration::from_millis(200);
/// Shortest stall of the process that is logged.
const LOGGED_STALL: time::Duration = time::Duration::from_millis(500);

/// Follows `table`; does not return.
pub(crate) async fn follow(edge: sync::Arc<edge::Edge>, table: store::Table) {
    // Until the first response the table counts as unavailable, so that snapshots are fetched from
    // peers.
    let backoff = backoff::Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    let mut state = TableState {
        unavailable_at: Some(clock::now()),
        refused_at: None,
        lost_feed: false,
        is_first_read: true,
        backoff,
    };
    edge.unavailable_tables.fetch_add(1, atomic::Ordering::Relaxed);
    loop {
        if !state.is_first_read {
            wait_until_needed(&edge, table, &state).await;
        }
        state.is_first_read = false;
        let err = match follow_once(&edge, table, &mut state).await {
            Ok(()) => continue,
            Err(err) => err,
        };
        if err.is_silent() {
            edge.store.reconnect();
        }
        if let FollowError::Feed(err) = err {
            tracing::info!(?table, %err, "edge: feed lost; reading the tables again");
            // The other table's feed may have gone silent as well.
            edge.feed_stalled.notify_waiters();
            // The first time the table is read at once, so that no change is delayed.
            if std::mem::replace(&mut state.lost_feed, true) {
                tokio::time::sleep(clock::jitter(state.backoff.next_delay())).await;
            }
            continue;
        }
        state.record_failure(&edge, table, &err);
        tokio::time::sleep(clock::jitter(state.backoff.next_delay())).await;
    }
}

/// Keeps up to date whether this entry follows the store; does not return.
///
/// An entry that is not to follow it does so all the same while no other entry of its cell does. It
/// waits for a random time first, so that one of the cell begins and is heard by the others.
pub(crate) async fn choose_source(edge: sync::Arc<edge::Edge>) {
    loop {
        tokio::time::sleep(SOURCE_CHECK).await;
        if is_covered(&edge) {
            edge.set_following(false);
            continue;
        }
        if !edge.follows_store() && !edge.members().is_follower() {
            tokio::time::sleep(MAX_TAKEOVER_DELAY.mul_f64(rand::random())).await;
        }
        edge.set_following(!is_covered(&edge));
    }
}

fn is_covered(edge: &edge::Edge) -> bool {
    let (members, now) = (edge.members(), clock::now());
    !members.is_follower() && !members.is_checker(now) && members.has_source(now)
}

// Waits while peers tell this entry that `table` is current.
async fn wait_until_needed(edge: &edge::Edge, table: store::Table, state: &TableState) {
    tokio::select! {
        () = wait_for_source_loss(edge) => {}
        () = wait_until_stale(edge, table, state) => {}
    }
}

// Waits while a peer follows the store for this entry.
async fn wait_for_source_loss(edge: &edge::Edge) {
    while !edge.follows_store() {
        tokio::time::sleep(SOURCE_CHECK).await;
    }
}

// Availability of one table in the store.
struct TableState {
    // First failed call since the last answer, or the start of the process.
    unavailable_at: Option<time::Instant>,
    // Last call that the store refused since then.
    refused_at: Option<time::Instant>,
    // Whether the last feed was lost, though the store may be available.
    lost_feed: bool,
    is_first_read: bool,
    backoff: backoff::Backoff,
}

impl TableState {
    fn record_failure(&mut self, edge: &edge::Edge, table: store::Table, err: &FollowError) {
        if err.is_refused() {
            self.refused_at = Some(clock::now());
        }
        if self.unavailable_at.is_none() {
            self.unavailable_at = Some(clock::now());
            edge.unavailable_tables.fetch_add(1, atomic::Ordering::Relaxed);
            tracing::warn!(?table, %err, "edge: store unavailable");
        }
    }

    // A read of the table alone does not show that its feed works.
    fn record_feed(&mut self) {
        self.lost_feed = false;
        self.backoff.reset();
    }

    fn record_success(
        &mut self,
        edge: &edge::Edge,
        table: store::Table,
        version: store::Version,
        refused_at: Option<time::Instant>,
    ) {
        if !self.lost_feed {
            self.backoff.reset();
        }
        if let Some(failed_at) = self.unavailable_at.take() {
            edge.unavailable_tables.fetch_sub(1, atomic::Ordering::Relaxed);
            tracing::info!(?table, %version, "edge: store available");
            // Otherwise rows are missing for good, or a peer has told until when to wait for them.
            let (terms, now, known) = (edge.terms(), clock::now(), edge.tables().servers);
            if table == store::Table::Servers
                && known.may_have_expired(now)
                && !known.is_answered(&terms, failed_at, now)
            {
                begin_grace(edge, refused_at);
            }
        }
    }
}

// Why the changes of a table could not be followed.
enum FollowError {
    // The store refused a call, or could not be read.
    Unavailable(store::StoreError),
    // The feed broke off, went silent, has lost its history or is of an era that is over, which says
    // nothing about the store: only a read on a new connection does.
    Feed(store::StoreError),
}

impl fmt::Display for FollowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (FollowError::Unavailable(err) | FollowError::Feed(err)) = self;
        write!(f, "{err}")
    }
}

impl FollowError {
    // Whether the store refused a call, so that it was away at that time.
    fn is_refused(&self) -> bool {
        let (FollowError::Unavailable(err) | FollowError::Feed(err)) = self;
        matches!(err, store::StoreError::Refused(_))
    }

    // Whether a call got no response, so that other connections to the store may be silent too.
    fn is_silent(&self) -> bool {
        let (FollowError::Unavailable(err) | FollowError::Feed(err)) = self;
        matches!(err, store::StoreError::Call(_))
    }
}

fn read_error(err: store::StoreError) -> FollowError {
    match err {
        store::StoreError::EraChanged => FollowError::Feed(err),
        _ => FollowError::Unavailable(err),
    }
}

fn feed_error(err: store::StoreError) -> FollowError {
    match err {
        store::StoreError::Refused(_) => FollowError::Unavailable(err),
        store::StoreError::Call(_)
        | store::StoreError::HistoryGone
        | store::StoreError::EraChanged
        | store::StoreError::Malformed(_) => FollowError::Feed(err),
    }
}

// Reads the whole table and follows its changes. Returns when the table is to be read again.
async fn follow_once(
    edge: &edge::Edge,
    table: store::Table,
    state: &mut TableState,
) -> Result<(), FollowError> {
    let question = freshness::Question { sent_at: clock::now(), wait: time::Duration::ZERO };
    let receiving = edge.receive();
    let all = edge.store.read_all(table, READ_TIMEOUT).await.map_err(read_error)?;
    notice_outage(edge, table);
    let refused_at = state.refused_at.take();
    state.record_success(edge, table, all.version, refused_at);
    let mut version = all.version;
    if table == store::Table::Servers {
        begin_era(edge, version, refused_at);
    }
    apply(edge, table, &all.rows, directory::Source::Store);
    if table == store::Table::Servers {
        remove_missing(edge, &all.rows, all.version, &[], directory::Source::Store);
    }
    edge.tables().record_answer(table, question.answered_at(true, clock::now()));
    edge.table_learned.notify_waiters();
    drop(receiving);
    loop {
        let (follows, is_checker) = (edge.follows_store(), is_checker(edge));
        let question = next_question(edge, table, is_checker);
        let (question, changes) = tokio::select! {
            changes = edge.store.feed(table, version, question.wait, FEED_SLACK), if follows => {
                (question, Incoming::read(edge, changes.map_err(feed_error)?).await?)
            }
            () = wait_until_checker(edge), if follows && !is_checker => continue,
            () = wait_until_stale(edge, table, state), if !(follows && is_checker) => {
                // Peers may have told changes since the last answer.
                version = version.max(edge.directory().rows.known_version(table));
                check(edge, table, version).await?
            }
            // Its question was sent before a time in which the process did not run.
            () = wait_until_old(edge, table), if follows && is_checker => {
                check(edge, table, version).await?
            }
            () = wait_for_source_loss(edge), if !follows => {
                version = version.max(edge.directory().rows.known_version(table));
                continue;
            }
            () = eras::wait_for_next(edge, version.era) => {
                return Err(FollowError::Feed(store::StoreError::EraChanged));
            }
            () = edge.feed_stalled.notified(), if follows => {
                tracing::info!(?table, %version, "edge: feed stalled; reading the whole table");
                return Ok(());
            }
        };
        let Incoming { rows: changes, receiving } = changes;
        version = version.max(changes.version);
        notice_outage(edge, table);
        state.record_feed();
        let has_changes = !changes.rows.is_empty();
        if has_changes {
            let waited_ms = (clock::now() - question.sent_at).as_millis() as u64;
            let (rows, bytes) = (changes.rows.len(), changes.bytes());
            tracing::info!(?table, %version, rows, bytes, waited_ms, "edge: changes read from the store");
        }
        apply(edge, table, &changes.rows, directory::Source::Store);
        if table == store::Table::Servers {
            edge.directory().rows.set_version(version);
        }
        let answered_at = question.answered_at(has_changes, clock::now());
        edge.tables().record_answer(table, answered_at);
        edge.table_learned.notify_waiters();
        if has_changes {
            edge.feed_changes.fetch_add(1, atomic::Ordering::Relaxed);
            drop(receiving);
            tokio::time::sleep(FEED_PAUSE).await;
        }
    }
}

// Whether this entry is to check often that the store is heard. In a fleet of several cells one that
// follows it in place of the followers of its cell does, too.
fn is_checker(edge: &edge::Edge) -> bool {
    let members = edge.members();
    let is_substitute = !members.partition().is_single() && edge.follows_store();
    is_substitute || members.is_checker(clock::now())
}

// Question for the next changes of `table`, which a checker lets wait until it is to ask again.
fn next_question(edge: &edge::Edge, table: store::Table, is_checker: bool) -> freshness::Question {
    let sent_at = clock::now();
    let terms = edge.terms();
    let next_check = edge.tables().get_mut(table).and_then(|table| table.next_check(&terms));
    let wait = match next_check {
        Some(at) if is_checker => at.saturating_duration_since(sent_at).min(FEED_WAIT),
        _ => FEED_WAIT,
    };
    freshness::Question { sent_at, wait }
}

async fn wait_until_checker(edge: &edge::Edge) {
    while !is_checker(edge) {
        tokio::time::sleep(SOURCE_CHECK).await;
    }
}

// Waits until nobody has told for long that the table is current. The entries that check it may have
// ended or be cut off, and this one's feed may have gone silent. Of several entries one asks first; an
// entry that found the store unavailable asks last, and after one lost question there is no time left.
async fn wait_until_stale(edge: &edge::Edge, table: store::Table, state: &TableState) {
    let delay = match (state.unavailable_at, state.lost_feed) {
        (Some(_), _) => 1.0,
        (None, true) => 0.0,
        (None, false) => rand::random(),
    };
    loop {
        let (terms, freshness) = (edge.terms(), edge.tables().get_mut(table).copied());
        match freshness.and_then(|freshness| freshness.check_at(&terms, delay)) {
            Some(at) if at > clock::now() => tokio::time::sleep_until(at.into()).await,
            Some(_) => return,
            None => tokio::time::sleep(SOURCE_CHECK).await,
        }
    }
}

// Waits until changes of a table may be in force that this entry does not know.
async fn wait_until_old(edge: &edge::Edge, table: store::Table) {
    loop {
        let (terms, now) = (edge.terms(), clock::now());
        let freshness = edge.tables().get_mut(table).copied();
        match freshness.and_then(|freshness| freshness.age(now)) {
            Some(age) if age > terms.limit() => return,
            age => tokio::time::sleep(terms.limit() - age.unwrap_or_default()).await,
        }
    }
}

// Changes of the store, which count as being received until they are applied.
struct Incoming<'a> {
    rows: store::Rows,
    receiving: edge::Receiving<'a>,
}

impl<'a> Incoming<'a> {
    // Reads changes that have begun to arrive. Nothing else ends that: however long a config takes on a slow
    // link, to ask again for it would take longer.
    async fn read(
        edge: &'a edge::Edge,
        changes: store::IncomingRows,
    ) -> Result<Incoming<'a>, FollowError> {
        let receiving = edge.receive();
        let rows = changes.read().await.map_err(feed_error)?;
        Ok(Incoming { rows, receiving })
    }
}

// Asks the store on a new connection for the changes after `version`, and has the others told.
async fn check<'a>(
    edge: &'a edge::Edge,
    table: store::Table,
    version: store::Version,
) -> Result<(freshness::Question, Incoming<'a>), FollowError> {
    edge.store.reconnect();
    let question = freshness::Question { sent_at: clock::now(), wait: time::Duration::ZERO };
    let asking = edge.store.feed(table, version, question.wait, edge.terms().timeout());
    let tables = *edge.tables();
    let (ages, told_by) = (tables.ages(clock::now()), tables.told_by());
    let changes = match asking.await {
        Ok(changes) => Incoming::read(edge, changes).await,
        Err(err) => Err(feed_error(err)),
    };
    let changes = changes.inspect_err(|err| {
        tracing::info!(
            ?table,
            %version,
            config_age_ms = ages.config,
            servers_age_ms = ages.servers,
            ?told_by,
            %err,
            "edge: feed not checked"
        );
    });
    let changes = changes?;
    tracing::info!(
        ?table,
        %version,
        changes = changes.rows.rows.len(),
        config_age_ms = ages.config,
        servers_age_ms = ages.servers,
        ?told_by,
        "edge: feed checked"
    );
    edge.commitments_changed.notify_one();
    Ok((question, changes))
}

// A restored store lacks the newest rows, which live servers write again: they are kept for the
// grace period. If the store last refused a call at `refused_at`, it was back soon after that.
fn begin_era(edge: &edge::Edge, version: store::Version, refused_at: Option<time::Instant>) {
    let known = edge.directory().rows.version();
    if version.era > known.era {
        begin_grace(edge, refused_at);
    }
}

// Begins the grace period if the store has answered after an outage that no call has met, before the
// changes are applied.
fn notice_outage(edge: &edge::Edge, table: store::Table) {
    let may_follow_outage = edge.tables().servers.may_follow_outage(&edge.terms(), clock::now());
    if table == store::Table::Servers && may_follow_outage {
        begin_grace(edge, None);
    }
}

// Keeps servers whose rows are missing for the grace period, after an outage of the store in which it
// last refused a call at `refused_at`.
fn begin_grace(edge: &edge::Edge, refused_at: Option<time::Instant>) {
    let mut directory = edge.directory();
    if directory.is_complete() {
        directory.fleet.registry_recovered(refused_at, clock::now());
        let version = directory.rows.version();
        tracing::info!(%version, "edge: missing servers are kept for a grace period");
    }
}

/// Applies the snapshot of a peer. Of an era that is over only the config is used, which has a
/// version of its own.
pub(crate) fn apply_snapshot(edge: &edge::Edge, from: net::IpAddr, snapshot: share::Snapshot) {
    let version = snapshot.version;
    let tables = *edge.tables();
    let ages = tables.ages(clock::now());
    tracing::info!(
        %from,
        %version,
        servers = snapshot.servers.len(),
        config_age_ms = ages.config,
        servers_age_ms = ages.servers,
        told_by = ?tables.told_by(),
        "edge: snapshot received from peer"
    );
    let to_row =
        |row: share::Row| store::Row { key: row.key, version: row.version, value: Some(row.value) };
    if let Some(row) = snapshot.config {
        let row = to_row(row);
        edge.directory().rows.record_config(&row);
        set_config(edge, &row);
    }
    let own = edge.directory().rows.version();
    let is_whole = snapshot.after == store::Version::default() && !snapshot.servers.is_empty();
    if version.era < own.era || (version.era > own.era && !is_whole) {
        return;
    }
    edge.store.record_era(version.era);
    begin_era(edge, version, None);
    let servers: Vec<_> = snapshot.servers.into_iter().map(to_row).collect();
    apply(edge, store::Table::Servers, &servers, directory::Source::Peer);
    if is_whole {
        return remove_missing(edge, &servers, version, &snapshot.awaited, directory::Source::Peer);
    }
    for (key, removed) in snapshot.removed {
        remove_server(edge, &key, removed, &snapshot.awaited, directory::Source::Peer);
    }
    edge.directory().rows.set_version(version);
}

fn apply(edge: &edge::Edge, table: store::Table, rows: &[store::Row], source: directory::Source) {
    for row in rows {
        match table {
            store::Table::Operator if edge.directory().rows.record_config(row) => {
                set_config(edge, row);
            }
            store::Table::Servers if edge.directory().rows.update_server(row) => {
                set_server(edge, row, source);
            }
            _ => {}
        }
    }
    edge.slot_freed.notify_waiters();
}

fn set_config(edge: &edge::Edge, row: &store::Row) {
    let Some(value) = &row.value else { return };
    let started = clock::now();
    let config = match config::read(value) {
        Ok(config) => config,
        Err(err) => return tracing::error!(%err, "edge: invalid config ignored"),
    };
    let read_at = clock::now();
    let (version, routes, bytes) = (config.version, config.routes.len(), value.len());
    let mut directory = edge.directory();
    if !directory.set_config(config) {
        return;
    }
    let (key, value) = (row.key.clone(), value.clone());
    directory.rows.set_config(version, share::Row { key, version: row.version, value });
    let config = directory.config();
    drop(directory);
    edge.counters.config_version.set(version as i64);
    // Others may need to know of streams that have begun.
    edge.note_origins();
    for config in config.iter() {
        edge.allowances().set_limits(&config.customers, clock::now());
    }
    let (read_time, apply_time) = (read_at - started, clock::now() - read_at);
    edge.counters.config_read.observe(read_time.as_secs_f64());
    edge.counters.config_apply.observe(apply_time.as_secs_f64());
    tracing::info!(
        version,
        routes,
        bytes,
        read_ms = read_time.as_millis() as u64,
        apply_ms = apply_time.as_millis() as u64,
        config_age_ms = edge.tables().ages(clock::now()).config,
        "edge: config applied"
    );
}

fn set_server(edge: &edge::Edge, row: &store::Row, source: directory::Source) {
    let parsed = row.value.as_ref().map(|value| registration::read(value));
    let mut known_places = edge.misdirected();
    let mut directory = edge.directory();
    let mut is_used = true;
    let mut restarted = None;
    let mut born = None;
    let change = match parsed {
        Some(Ok(instance)) => {
            born = instance.started_ms;
            log_order(edge, &directory, row, &instance);
            let known = directory.fleet.get(&row.key);
            let is_other = known.is_some_and(|known| known.software != instance.software);
            let written = (instance.started_ms, instance.sequence);
            let change = directory.fleet.set(&row.key, instance);
            let known = directory.fleet.get(&row.key);
            is_used = known.is_some_and(|known| (known.started_ms, known.sequence) == written);
            restarted = (is_other && is_used).then_some(written.0);
            change
        }
        Some(Err(err)) => {
            tracing::warn!(server = row.key, %err, "edge: invalid row of server not used");
            directory.fleet.set_invalid(&row.key)
        }
        None => directory.fleet.remove(&row.key, clock::now()),
    };
    if is_used {
        directory.record_row(&row.key);
    } else {
        let (version, answered_ms) = (row.version, directory.fleet.left_ms(&row.key));
        let server = &row.key;
        tracing::info!(server, %version, born, answered_ms, "edge: row of a server not used");
    }
    apply_change(&mut directory, change, row.version, source);
    let target = directory.target(&row.key).filter(|_| is_used && row.value.is_some());
    if let Some(target) = target {
        misdirected::register(&mut known_places, &mut directory, target.place());
    }
    drop((directory, known_places));
    if let Some(started_ms) = restarted {
        origins::retract(edge, &row.key, started_ms);
    }
}

// Counts and logs a row that its server wrote before the one that is known.
fn log_order(
    edge: &edge::Edge,
    directory: &directory::Directory,
    row: &store::Row,
    instance: &fleet::Instance,
) {
    let order = match directory.fleet.order(&row.key, instance) {
        fleet::Order::Later => return,
        fleet::Order::EarlierProcess => "process",
        fleet::Order::EarlierReport => "report",
    };
    let labels = metrics::OrderLabels { order: order.to_string() };
    edge.counters.earlier_rows.get_or_create(&labels).inc();
    let known = directory.fleet.get(&row.key);
    tracing::warn!(
        server = row.key,
        version = %row.version,
        order,
        born = instance.started_ms,
        sequence = instance.sequence,
        leaving = instance.leaving,
        known_born = known.and_then(|known| known.started_ms),
        known_sequence = known.map(|known| known.sequence),
        known_leaving = known.map(|known| known.leaving),
        "edge: earlier row of a server"
    );
}

fn apply_change(
    directory: &mut directory::Directory,
    change: Option<fleet::Change>,
    version: store::Version,
    source: directory::Source,
) {
    if let Some(change) = change {
        directory.record_change(&change, version, source);
    }
}

// Removes the servers without a row as of `version`, except those that a peer still keeps for a
// grace period.
fn remove_missing(
    edge: &edge::Edge,
    rows: &[store::Row],
    version: store::Version,
    awaited: &[share::AwaitedServer],
    source: directory::Source,
) {
    let missing = edge.directory().rows.missing_from(rows, version);
    for key in missing {
        remove_server(edge, &key, version, awaited, source);
    }
    let mut directory = edge.directory();
    directory.rows.set_copied(version);
    directory.set_fleet_known();
}

// Removes a server whose row was deleted at `version`, except one that a peer still keeps for a
// grace period.
fn remove_server(
    edge: &edge::Edge,
    key: &ids::ServerName,
    version: store::Version,
    awaited: &[share::AwaitedServer],
    source: directory::Source,
) {
    let now = clock::now();
    let mut directory = edge.directory();
    if !directory.rows.remove_server(key, version) {
        return;
    }
    if let Some(server) = awaited.iter().find(|server| server.key == *key) {
        directory.fleet.keep_until(key, now + server.remaining);
        tracing::info!(
            server = key,
            remaining = ?server.remaining,
            %version,
            "edge: missing server kept"
        );
        return;
    }
    let change = directory.fleet.remove(key, now);
    apply_change(&mut directory, change, version, source);
}

/// Removes servers whose rows did not return within the grace period, and closes expired idle
/// connections; does not return.
pub(crate) async fn sweep(edge: sync::Arc<edge::Edge>) {
    let mut suspension = suspension::Suspension::new(clock::now(), boot::time());
    loop {
        let due_at = clock::now() + stalls::PERIOD;
        tokio::time::sleep(stalls::PERIOD).await;
        let delay = clock::now().saturating_duration_since(due_at);
        edge.counters.timer_delay.observe(delay.as_secs_f64());
        if delay >= LOGGED_DELAY {
            let (millis, open) =
                (delay.as_millis() as u64, edge.open_requests.load(atomic::Ordering::Relaxed));
            tracing::warn!(millis, open, "edge: timers fire late");
        }
        if let Some(duration) = edge.record_running().filter(|duration| *duration >= LOGGED_STALL) {
            let millis = duration.as_millis() as u64;
            tracing::warn!(millis, "edge: process did not run");
        }
        if let Some(duration) = suspension.check(clock::now(), boot::time()) {
            let millis = duration.as_millis() as u64;
            tracing::warn!(millis, "edge: instance was suspended; idle connections closed");
            edge.connections.drop_idle();
            edge.tables().record_suspension(duration);
        }
        edge.connections.sweep();
        edge.rejected().expire(&edge.counters);
        edge.limits().quotas.expire(clock::now());
        let window = edge.directory().stream_window(clock::now());
        edge.origins().expire(window, clock::now());
        expire_servers(&edge);
    }
}

// Removes servers, and uses registrations, whose times have passed.
fn expire_servers(edge: &edge::Edge) {
    let mut directory = edge.directory();
    let mut joined = Vec::new();
    while let Some(change) = directory.fleet.next_expired(clock::now()) {
        let version = directory.rows.version();
        if let fleet::Change::Joined(id) = &change {
            let started_ms = directory.fleet.get(id).and_then(|known| known.started_ms);
            joined.push((id.clone(), started_ms));
        }
        apply_change(&mut directory, Some(change), version, directory::Source::Grace);
    }
    drop(directory);
    for (id, started_ms) in joined {
        origins::retract(edge, &id, started_ms);
    }
}
