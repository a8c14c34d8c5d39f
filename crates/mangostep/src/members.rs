use std::{collections::BTreeMap, time::Duration};

use {
    mangostep_platform::{Condition, HostRow, Row, TableStore, Transaction, Write, keys},
    mangostep_policy::MemberSet,
    pico_args::Arguments,
};

use crate::{
    command::{CommandError, free_arguments, run_async},
    fleet_access::FleetAccess,
};

pub(crate) const USAGE: &str = "\
Show the member set, whose majorities decide which host may act.

Usage: mangostep members [OPTIONS]
       mangostep members drop HOST... --dead [OPTIONS]

  drop HOST...       take out hosts that died for good, when too few are left
                     for a majority; the others take over what they held
  --dead             states that the processes of these hosts have ended; a
                     dropped host that still runs may act beside its successor

Which fleet:
  --settings FILE    JSON with comments: fleet, platform, hosts
  --fleet NAME       in place of the file's
  --platform URL     all three platform services at one address

A host that is seen to renew its row is not dropped. Exit code 1 means that
nothing was changed.
";

/// Time between the two readings that show whether a host renews its row.
const READING_PAUSE: Duration = Duration::from_millis(5_500);

/// What the command line asks for.
enum MembersTask {
    Show,
    Drop(Vec<String>),
}

/// The member set with all host rows.
struct MemberRows {
    set_version: u64,
    set: MemberSet,
    hosts: BTreeMap<String, (u64, HostRow)>,
}

/// Shows or changes the member set.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let says_dead = arguments.contains("--dead");
    let access = FleetAccess::open(&mut arguments)?;
    let task = read_task(free_arguments(arguments)?, says_dead)?;
    run_async(async {
        match task {
            MembersTask::Show => show(&access).await,
            MembersTask::Drop(hosts) => drop_hosts(&access, &hosts).await,
        }
    })
}

fn read_task(free: Vec<String>, says_dead: bool) -> Result<MembersTask, CommandError> {
    let usage = |text: &str| Err(CommandError::Usage(text.to_owned()));
    match free.split_first() {
        None => Ok(MembersTask::Show),
        Some((word, hosts)) if word == "drop" => match (hosts.is_empty(), says_dead) {
            (true, _) => usage("drop: which hosts?"),
            (_, false) => usage("drop: state with --dead that their processes have ended"),
            _ => Ok(MembersTask::Drop(hosts.to_vec())),
        },
        Some((word, _)) => usage(&format!("members: no task `{word}`")),
    }
}

async fn show(access: &FleetAccess) -> Result<(), CommandError> {
    let first = read(access).await?;
    tokio::time::sleep(READING_PAUSE).await;
    let second = read(access).await?;
    let set = &second.set;
    let state = if set.is_settled() {
        "settled"
    } else {
        "changing"
    };
    println!("member set {}, {state}", set.version());
    for host in set.members() {
        println!("{host}  {}", member_state(&first, &second, host));
    }
    for host in second.hosts.keys().filter(|host| !set.contains(host)) {
        println!("{host}  no member, {}", member_state(&first, &second, host));
    }
    let renewing = set.members().iter();
    let renewing = renewing.filter(|host| is_renewing(&first, &second, host));
    println!(
        "{} of {} members renew, {} make a majority",
        renewing.count(),
        set.members().len(),
        set.majority()
    );
    Ok(())
}

fn member_state(first: &MemberRows, second: &MemberRows, host: &str) -> &'static str {
    match second.hosts.get(host) {
        None => "no row",
        Some((_, row)) if row.leaving => "leaving",
        Some(_) if is_renewing(first, second, host) => "renewing",
        Some(_) => "not renewing",
    }
}

fn is_renewing(first: &MemberRows, second: &MemberRows, host: &str) -> bool {
    let Some((version, _)) = second.hosts.get(host) else {
        return false;
    };
    let before = first.hosts.get(host);
    before.is_none_or(|(before, _)| before != version)
}

async fn drop_hosts(access: &FleetAccess, dead: &[String]) -> Result<(), CommandError> {
    let first = read(access).await?;
    tokio::time::sleep(READING_PAUSE).await;
    let second = read(access).await?;
    let refused = |text: String| Err(CommandError::Failed(format!("{text}; nothing was changed")));
    for host in dead {
        if is_renewing(&first, &second, host) {
            return refused(format!("{host} renews its row"));
        }
        if !second.set.contains(host) {
            return refused(format!("{host} is no member"));
        }
    }
    let next = second.set.without_dead(dead);
    if next.members().is_empty() {
        return refused("no member would be left".to_owned());
    }
    if !write(access, &second, &next, dead).await? {
        return refused("the rows changed meanwhile, try again".to_owned());
    }
    println!(
        "member set {}: {} members, {} make a majority",
        next.version(),
        next.members().len(),
        next.majority()
    );
    Ok(())
}

async fn read(access: &FleetAccess) -> Result<MemberRows, CommandError> {
    let fleet = &access.settings.fleet;
    let transaction = Transaction {
        reads: vec![keys::members(fleet)],
        prefixes: vec![keys::host_prefix(fleet)],
        ..Default::default()
    };
    let answer = access
        .client
        .transact(&transaction)
        .await
        .map_err(|err| CommandError::failed("read members", err))?;
    let row = answer.row(&keys::members(fleet));
    let text = row.and_then(|row| row.value.as_deref());
    let text = text.ok_or_else(|| CommandError::Failed("there is no member set yet".to_owned()))?;
    let set =
        serde_json::from_str(text).map_err(|err| CommandError::failed("read members", err))?;
    let host_rows = answer.rows.iter();
    let host_rows = host_rows.filter(|row| row.key.starts_with(&keys::host_prefix(fleet)));
    Ok(MemberRows {
        set_version: row.map_or(0, |row| row.version),
        set,
        hosts: host_rows.filter_map(parse_host).collect(),
    })
}

fn parse_host(row: &Row) -> Option<(String, (u64, HostRow))> {
    let host = HostRow::parse(row.value.as_deref()?).ok()?;
    Some((host.host.clone(), (row.version, host)))
}

/// Writes the next set and removes the rows of the dropped hosts, so that
/// none of their processes can renew again.
async fn write(
    access: &FleetAccess,
    known: &MemberRows,
    next: &MemberSet,
    dead: &[String],
) -> Result<bool, CommandError> {
    let fleet = &access.settings.fleet;
    let failed = |err: String| CommandError::failed("write members", err);
    let text = serde_json::to_string(next).map_err(|err| failed(err.to_string()))?;
    let mut change = Transaction {
        conditions: vec![Condition {
            key: keys::members(fleet),
            version: known.set_version,
        }],
        writes: vec![Write {
            key: keys::members(fleet),
            value: Some(text),
        }],
        ..Default::default()
    };
    for host in dead {
        let key = keys::host(fleet, host);
        let version = known.hosts.get(host).map_or(0, |(version, _)| *version);
        change.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        change.writes.push(Write { key, value: None });
    }
    match access.client.transact(&change).await {
        Ok(answer) => Ok(answer.committed),
        // The answer may be lost; the row tells.
        Err(err) => match read(access).await {
            Ok(now) => Ok(now.set == *next),
            Err(_) => Err(failed(format!(
                "{err}; the outcome is open, `mangostep members` shows it"
            ))),
        },
    }
}
