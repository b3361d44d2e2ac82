//! `dahliactl`: reads the command line, carries the command out, prints, and exits with its code.

use std::process::ExitCode;

use dahliastile_ctl::{Args, Command, Error, NOTES, clash_text};
use gumdrop::Options;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let args = match Args::read(&words) {
        Ok(args) => args,
        Err(error) => return fail(&error, words.iter().any(|word| word == "--json")),
    };
    if args.version {
        println!("dahliactl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.help_requested() {
        help(&args);
        return ExitCode::SUCCESS;
    }
    let done = dahliastile_ctl::run(&args, &|name| std::env::var(name).ok());
    match done {
        Ok(output) => {
            println!("{}", output.print(args.json));
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error, args.json),
    }
}

fn help(args: &Args) {
    let mut name = "dahliactl".to_owned();
    if let Some(command) = args.command_name() {
        name = format!("{name} {command}");
    }
    let options = args.self_usage();
    println!("Usage: {name} [OPTIONS]\n\n{options}");
    match (&args.command, args.self_command_list()) {
        (Some(Command::Rules(rules)), _) => {
            println!(
                "\nCommands:\n{}",
                rules.self_command_list().unwrap_or_default()
            );
        }
        (None, Some(commands)) => println!("\nCommands:\n{commands}\n\n{NOTES}"),
        _ => {}
    }
}

fn fail(error: &Error, json: bool) -> ExitCode {
    if json {
        println!("{:#}", error.json());
    }
    match error {
        Error::File { path, problems } => {
            for problem in problems {
                eprintln!("{path}:{problem}");
            }
        }
        Error::Clash(clash) => eprintln!("{}", clash_text(clash)),
        Error::Broken { promises, report } => {
            if !json {
                println!("{}", report.text);
            }
            for text in promises {
                eprintln!("broken: {text}");
            }
        }
        _ => {}
    }
    eprintln!("dahliactl: {error}\nnext: {}", error.advice());
    ExitCode::from(error.code())
}
