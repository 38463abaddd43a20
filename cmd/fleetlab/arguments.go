package main

// arguments declares the commands of the program and their arguments for kong.
type arguments struct {
	Run struct {
		experimentArguments
	} `cmd:"" help:"Run one experiment."`
	Sweep struct {
		experimentArguments
		Over string `required:"" placeholder:"KEY=V1,V2,..." help:"The key to sweep and its values, such as backends=42,200,2000."`
	} `cmd:"" help:"Run an experiment at several values of one key, and fit a line to each metric."`
	Soak   soakArguments `cmd:"" help:"Run gateway processes through random faults, and check the outcome of every request."`
	Hollow struct{}      `cmd:"" hidden:"" help:"Run the hollow gateways of the job that is read from standard input."`
}

// experimentArguments declares the arguments that run and sweep share.
type experimentArguments struct {
	File     string `arg:"" help:"The experiment file, such as lab/quick.toml."`
	Report   string `help:"The file for the JSON report. By default, it is named after the experiment and is in logs/."`
	Baseline string `placeholder:"DIR" help:"A checkout of an earlier version, which is built by its deploy file and measured first."`
}
