const configuration = [
	{ignores: ['dist/**']},
	{
		rules: {
			// It asks for a line break in an empty block, which unicorn/empty-brace-spaces forbids.
			'@stylistic/curly-newline': 'off',
		},
	},
	{
		files: ['demo/**', 'soak/**', 'measures/**', 'harness/**', 'src/daemon.ts'],
		rules: {
			// Programs that end with an exit code of their own.
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default configuration;
