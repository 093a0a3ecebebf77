//! Scripted sheets: the faults of each sheet and the differences between two sheets.

use sheet::Sheet;
use std::error::Error;

#[derive(Default)]
struct Runner {
    lines: Vec<String>,
    sheets: Vec<Sheet>,
}

impl goldenscript::Runner for Runner {
    type Command = goldenscript::Command;

    fn run(
        &mut self,
        cmd: &Self::Command,
        _cx: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = cmd.consume_args();
        let cells: Vec<&str> = std::iter::from_fn(|| args.next_pos()).collect();
        args.reject_next()?;
        match cmd.name.as_str() {
            "columns" => self.lines = vec![cells.join(",")],
            "row" => self.lines.push(cells.join(",")),
            "parse" => return Ok(self.parse()),
            "plan" => return Ok(self.plan()),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

impl Runner {
    fn parse(&mut self) -> String {
        match sheet::parse(self.lines.join("\n").as_bytes()) {
            Ok(sheet) => {
                self.sheets.push(sheet);
                "ok".to_string()
            }
            Err(faults) => faults.iter().map(|fault| format!("{fault}\n")).collect(),
        }
    }

    fn plan(&self) -> String {
        let [.., old, new] = self.sheets.as_slice() else { return "two sheets needed".into() };
        let differences = sheet::difference(&old.configuration, &new.configuration);
        differences.iter().map(|difference| format!("{difference}\n")).collect()
    }
}

#[test]
fn faults() {
    goldenscript::run(&mut Runner::default(), "tests/scripts/faults").unwrap();
}

#[test]
fn plan() {
    goldenscript::run(&mut Runner::default(), "tests/scripts/plan").unwrap();
}
