//! Stand-ins for the review's scripts: the key-value service, plain servers and clients, as threads of one program that
//! starts the entry VMs as processes. Standard library only.

mod http;
mod json;
mod store;
mod vms;

mod foreign;
mod keep_alive;
mod limit;

use std::process::exit;

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(record)) = (words.next(), words.next()) else {
        eprintln!("usage: lab CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "keep-alive" => keep_alive::run(trouble, &record),
        "limit" => limit::run(trouble, &record),
        "foreign" => foreign::run(trouble, &record),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            exit(1);
        }
        Err(why) => {
            eprintln!("the case could not run: {why}");
            exit(2);
        }
    }
}
