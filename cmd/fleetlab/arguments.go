package main

// arguments are the commands of the program and their arguments, as kong reads them.
type arguments struct {
	Run struct {
		experimentArguments
	} `cmd:"" help:"Run one experiment."`
	Sweep struct {
		experimentArguments
		Over string `required:"" placeholder:"KEY=V1,V2,..." help:"What takes which values, such as backends=42,200,2000."`
	} `cmd:"" help:"Run an experiment at several values of one key, and fit a slope to each figure."`
	Soak   soakArguments `cmd:"" help:"Play seeded trouble on real gateways, and check what became of every request."`
	Hollow struct{}      `cmd:"" hidden:"" help:"Run the job of hollow gateways on standard input."`
}

// experimentArguments are the arguments of the commands that measure an experiment.
type experimentArguments struct {
	File     string `arg:"" help:"The experiment, such as lab/quick.toml."`
	Report   string `help:"Where the JSON report goes. Else to logs/ under the experiment's name."`
	Baseline string `placeholder:"DIR" help:"A checkout of an earlier version, which is built as its deploy file says and measured first."`
}
